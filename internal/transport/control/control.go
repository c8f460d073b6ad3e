// Package control is the operators' command line.
//
// # Usage
//
//	os.Exit(control.Main(os.Args[1:], os.Stdout, os.Stderr))
//
// Exit codes are those of package program; a conflict with another operator
// ends with ExitConflict.
package control

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"comfreyworks"
	"comfreyworks/internal/state/settings"
	"comfreyworks/internal/transport/program"
)

// ExitConflict means that another operator's change came first.
const ExitConflict program.ExitCode = 5

// commands are the subcommands and the options before them.
type commands struct {
	Version  func()          `long:"version" description:"print the version and exit"`
	Config   string          `long:"config" description:"operator settings file" value-name:"FILE" default:"operator.jsonc"`
	Check    bool            `long:"check-config" description:"check the operator settings file and exit"`
	Validate validateCommand `command:"validate" description:"check deployment files and print every mistake"`
	Diff     diffCommand     `command:"diff" description:"show what applying a file would change"`
	Apply    applyCommand    `command:"apply" description:"make a file the configuration in force, as a whole"`
	Status   statusCommand   `command:"status" description:"show which revision every instance has in force"`
	History  historyCommand  `command:"history" description:"list the revisions and the records that made none"`
	Rollback rollbackCommand `command:"rollback" description:"make an older revision's content the next revision"`
}

// fileArgument is the file of a command.
type fileArgument struct {
	File string `positional-arg-name:"FILE" required:"yes"`
}

// waiting are the options of commands that change the configuration.
type waiting struct {
	Loaded  bool          `long:"weights-loaded" description:"the engines serve the changed weights already"`
	Author  string        `long:"author" description:"who makes the change" required:"yes"`
	Wait    bool          `long:"wait" description:"return when every live instance has it in force"`
	Timeout time.Duration `long:"timeout" default:"30s" description:"how long --wait waits"`
}

type validateCommand struct {
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

type diffCommand struct {
	Args fileArgument `positional-args:"yes"`
}

type applyCommand struct {
	waiting
	Base    *uint64      `long:"base" description:"revision that the file was made for; a newer one is a conflict"`
	Message string       `long:"message" description:"why the change is made"`
	Args    fileArgument `positional-args:"yes"`
}

type statusCommand struct{}

type historyCommand struct{}

type rollbackCommand struct {
	waiting
	Args struct {
		Revision uint64 `positional-arg-name:"REVISION" required:"yes"`
	} `positional-args:"yes"`
}

// Main runs one command and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) program.ExitCode {
	versionShown := false
	var c commands
	c.Version = func() {
		versionShown = true
		_, _ = fmt.Fprintln(stdout, "comfreyctl", program.Version)
	}
	parser := flags.NewNamedParser("comfreyctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	if _, err := parser.AddGroup("Options", "", &c); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return program.ExitUsage
	}
	rest, err := parser.ParseArgs(args)
	switch {
	case flags.WroteHelp(err):
		_, _ = fmt.Fprintln(stdout, err)
		return program.ExitOK
	case err != nil:
		_, _ = fmt.Fprintln(stderr, err)
		return program.ExitUsage
	case versionShown:
		return program.ExitOK
	case c.Check:
		return exitCode(c.checkConfig(stdout), stderr)
	case parser.Active == nil && len(rest) > 0:
		_, _ = fmt.Fprintf(stderr, "unknown command %q\n", rest[0])
		return program.ExitUsage
	case parser.Active == nil:
		parser.WriteHelp(stderr)
		return program.ExitUsage
	}
	return exitCode(c.run(parser.Active.Name, stdout), stderr)
}

func exitCode(err error, stderr io.Writer) program.ExitCode {
	if err == nil {
		return program.ExitOK
	}
	_, _ = fmt.Fprintln(stderr, err)
	var problems settings.Problems
	switch {
	case errors.As(err, &problems), errors.Is(err, os.ErrNotExist):
		return program.ExitSettings
	case errors.Is(err, errConflict):
		return ExitConflict
	default:
		return program.ExitFailure
	}
}

func (c *commands) checkConfig(stdout io.Writer) error {
	o, err := openOperator(context.Background(), c.Config, stdout)
	if err != nil {
		return err
	}
	o.printf("%s: settings are good\n", c.Config)
	return nil
}

func (c *commands) run(name string, stdout io.Writer) error {
	if name == "validate" {
		return validate(c.Validate.Args.Files, stdout)
	}
	o, err := openOperator(context.Background(), c.Config, stdout)
	if err != nil {
		return err
	}
	defer o.peers.Close()
	switch name {
	case "diff":
		return o.diff(c.Diff.Args.File)
	case "apply":
		return c.Apply.execute(o)
	case "status":
		return o.status()
	case "history":
		return o.history()
	default:
		return c.Rollback.execute(o)
	}
}

func (c *applyCommand) execute(o *operator) error {
	next, err := readFile(c.Args.File)
	if err != nil {
		return err
	}
	var base *comfreyworks.ConfigRevision
	if c.Base != nil {
		base = new(comfreyworks.ConfigRevision(*c.Base))
	}
	o.weightsLoaded = c.Loaded
	number, err := o.apply(next, base, c.Author, c.Message)
	return c.finish(o, number, err)
}

func (c *rollbackCommand) execute(o *operator) error {
	o.weightsLoaded = c.Loaded
	number, err := o.rollback(comfreyworks.ConfigRevision(c.Args.Revision), c.Author)
	return c.finish(o, number, err)
}

func (w *waiting) finish(o *operator, number comfreyworks.ConfigRevision, err error) error {
	if err != nil || !w.Wait {
		return err
	}
	return o.wait(number, w.Timeout)
}

// validate checks every file, so that one run shows every mistake.
func validate(files []string, stdout io.Writer) error {
	var all []error
	for _, file := range files {
		source, err := os.ReadFile(file)
		if err == nil {
			_, err = settings.ReadDeployment(file, source)
		}
		if err != nil {
			all = append(all, err)
			continue
		}
		_, _ = fmt.Fprintf(stdout, "%s: settings are good\n", file)
	}
	return errors.Join(all...)
}
