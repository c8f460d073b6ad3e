// Program comfreyctl is the operators' command line tool for checking, applying
// and rolling back deployment configurations.
//
// # Usage
//
//	comfreyctl validate FILE...
package main

import (
	"os"

	"comfreyworks/internal/transport/control"
	"comfreyworks/platform"
)

func main() {
	os.Exit(control.Main(os.Args[1:], os.Stdout, os.Stderr, platform.CheckConfig))
}
