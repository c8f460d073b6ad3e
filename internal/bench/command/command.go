// Package command implements the subcommands of the bench program: the demo,
// generating and running traces, comparing policies, checking runs with faults
// and estimating capacity.
//
// # Usage
//
//	os.Exit(command.Main(os.Args[1:]))
//
// Exit codes are those of package program. Main returns ExitFailure if a command
// fails or if its results violate a guarantee of the system.
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

// errViolations is returned if the printed results violate a guarantee of the
// system: the outcome of a request is wrong, failed or incomplete, a
// non-repeatable call ran more than once, or package check found a violation.
var errViolations = errors.New("the results violate a guarantee of the system")

// commands holds the options of the program and its subcommands.
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

// Main parses the arguments, runs the selected subcommand until it ends or is
// interrupted by SIGTERM or SIGINT, and returns the exit code.
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
