// Program standin2 runs the cases of the second review that are scripts. It starts the
// gateways of the deploy file as processes and is itself their store, their replicas and
// their requesters.
//
// # Usage
//
//	target/standin2 CASE RECORD
//
// It must be started in the root of the repository. It exits with 1 if the rule of the
// case was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases holds the cases by name. Each returns whether its rule was broken, with a line
// on what was counted.
var cases = map[string]func(w *world, trouble bool) (broken bool, summary string){
	"trials":  trials,
	"herd":    herd,
	"endless": endless,
	"keys":    keys,
}

// maxTime is the time after which a run is given up.
const maxTime = 117 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(name, path string, trouble bool) int {
	w, err := start(path)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(maxTime):
		}
		fmt.Fprintln(os.Stderr, "interrupted, or out of time")
		w.close()
		os.Exit(2)
	}()
	time.Sleep(2 * time.Second)
	broken, summary := cases[name](w, trouble)
	w.record.add("broken: %v. %s", broken, summary)
	fmt.Printf("broken: %v. %s\n", broken, summary)
	if broken {
		return 1
	}
	return 0
}
