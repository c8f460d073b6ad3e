// Package command is the command line of the bench: the demo, traces, runs and
// comparisons.
//
// # Usage
//
//	os.Exit(command.Main(os.Args[1:]))
//
// Exit codes are those of package program; a run that broke a promise ends
// with ExitFailure.
package command

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"comfreyworks/internal/transport/program"
)

// errBroken means that a run broke a promise.
var errBroken = errors.New("a promise was broken")

// commands are the subcommands.
type commands struct {
	Version func() `long:"version" description:"print the version and exit"`

	Demo demoCommand `command:"demo" description:"run the whole system for some seconds and check every answer"`

	Trace   traceCommand   `command:"trace" description:"write a generated trace"`
	Run     runCommand     `command:"run" description:"run a trace under one policy"`
	Compare compareCommand `command:"compare" description:"run policies on the same traces"`

	Check checkCommand `command:"check" description:"run traces with faults and check every promise"`

	Capacity capacityCommand `command:"capacity" description:"measure slopes and work out what full size takes"`

	Processes processesCommand `command:"processes" description:"run the demo against roles that are processes of their own"`
}

// Main runs one command and returns the exit code.
func Main(args []string) program.ExitCode {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	c := commands{
		Demo:      demoCommand{ctx: ctx},
		Run:       runCommand{ctx: ctx},
		Compare:   compareCommand{ctx: ctx},
		Check:     checkCommand{ctx: ctx},
		Capacity:  capacityCommand{ctx: ctx},
		Processes: processesCommand{ctx: ctx},
	}
	c.Version = func() {
		fmt.Println("bench", program.Version)
		os.Exit(program.ExitOK)
	}
	parser := flags.NewNamedParser("bench", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &c); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return program.ExitUsage
	}
	_, err := parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return program.ExitOK
	case flags.WroteHelp(err):
		fmt.Println(err)
		return program.ExitOK
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, err)
		return program.ExitUsage
	default:
		fmt.Fprintln(os.Stderr, err)
		return program.ExitFailure
	}
}
