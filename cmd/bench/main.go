// Program bench runs the demo, generates and runs traces, compares placement
// policies and measures capacity.
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
