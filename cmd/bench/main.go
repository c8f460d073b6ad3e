// Program bench runs the demo, loads and experiments.
//
// # Usage
//
//	bench demo
package main

import (
	"os"

	"comfreyworks/internal/bench/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:]))
}
