// Package control implements comfreyctl, the operators' command line tool.
//
// # Usage
//
//	os.Exit(control.Main(os.Args[1:], os.Stdout, os.Stderr, platform.CheckConfig))
//
// Exit codes are those of package program, and ExitConflict.
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

// ExitConflict means that another operator's change was applied first.
const ExitConflict program.ExitCode = 5

// commands holds the subcommands and the global options.
type commands struct {
	Version     func()          `long:"version" description:"print the version and exit"`
	Config      string          `long:"config" description:"operator settings file" value-name:"FILE" default:"operator.jsonc"`
	CheckConfig bool            `long:"check-config" description:"check the operator settings file and exit"`
	Validate    validateCommand `command:"validate" description:"check deployment files and print every mistake"`
	Diff        diffCommand     `command:"diff" description:"show what applying a file would change"`
	Apply       applyCommand    `command:"apply" description:"make a file the configuration in force, as a whole"`
	Status      statusCommand   `command:"status" description:"show which revision every instance has in force"`
	History     historyCommand  `command:"history" description:"list the revisions and the records that made none"`
	Rollback    rollbackCommand `command:"rollback" description:"make an older revision's content the next revision"`

	checkGateways CheckGatewayConfig
}

// fileArgument is the positional argument of commands that read a deployment
// file.
type fileArgument struct {
	File string `positional-arg-name:"FILE" required:"yes"`
}

// changeOptions holds the options of commands that change the configuration.
type changeOptions struct {
	WeightsLoaded bool          `long:"weights-loaded" description:"the engines serve the changed weights already"`
	Author        string        `long:"author" description:"who makes the change" required:"yes"`
	Wait          bool          `long:"wait" description:"return when every live instance has it in force"`
	Timeout       time.Duration `long:"timeout" default:"30s" description:"how long --wait waits"`
}

// strictOption is the option of commands that read a deployment file.
type strictOption struct {
	Strict bool `long:"strict" description:"treat warnings as mistakes"`
}

type validateCommand struct {
	strictOption
	InForce         bool   `long:"in-force" description:"also show what differs from the configuration in force"`
	Gateways        bool   `long:"gateways" description:"the files declare the configuration of gateways"`
	GatewaySettings string `long:"gateway-settings" description:"with --gateways, settings file of a gateway whose bounds are compared" value-name:"FILE"`
	Args            struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

type diffCommand struct {
	Args fileArgument `positional-args:"yes"`
}

type applyCommand struct {
	changeOptions
	strictOption
	Base    *uint64      `long:"base" description:"revision that the file was made for; a newer one is a conflict"`
	Message string       `long:"message" description:"why the change is made"`
	Args    fileArgument `positional-args:"yes"`
}

type statusCommand struct{}

type historyCommand struct{}

type rollbackCommand struct {
	changeOptions
	Args struct {
		Revision uint64 `positional-arg-name:"REVISION" required:"yes"`
	} `positional-args:"yes"`
}

// CheckGatewayConfig checks a file that declares the configuration of gateways. The path
// of a gateway's settings file may be empty. It returns mistakes as settings.Problems and
// otherwise warnings.
type CheckGatewayConfig func(file, settingsFile string) (warnings settings.Problems, err error)

// Main runs one command and returns the exit code. checkGateways implements validate
// --gateways.
func Main(args []string, stdout, stderr io.Writer, checkGateways CheckGatewayConfig) program.ExitCode {
	versionShown := false
	c := commands{checkGateways: checkGateways}
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
	case c.CheckConfig:
		return reportError(c.checkConfig(stdout), stderr)
	case parser.Active == nil && len(rest) > 0:
		_, _ = fmt.Fprintf(stderr, "unknown command %q\n", rest[0])
		return program.ExitUsage
	case parser.Active == nil:
		parser.WriteHelp(stderr)
		return program.ExitUsage
	}
	return reportError(c.run(parser.Active.Name, stdout), stderr)
}

// reportError prints err, if any, and returns the exit code for it.
func reportError(err error, stderr io.Writer) program.ExitCode {
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

// checkConfig validates the operator settings file.
func (c *commands) checkConfig(stdout io.Writer) error {
	s, err := openSession(context.Background(), c.Config, stdout)
	if err != nil {
		return err
	}
	s.printf("%s: settings are good\n", c.Config)
	return nil
}

// run executes the subcommand with the given name.
func (c *commands) run(name string, stdout io.Writer) error {
	switch {
	case name == "validate" && c.Validate.Gateways && c.Validate.InForce:
		return errors.New("--in-force cannot be combined with --gateways: their configuration is not in the log")
	case name == "validate" && c.Validate.Gateways:
		return c.Validate.execute(stdout, func(file string) (settings.Problems, error) {
			return c.checkGateways(file, c.Validate.GatewaySettings)
		})
	case name == "validate" && !c.Validate.InForce:
		return c.Validate.execute(stdout, reviewDeployment)
	}
	s, err := openSession(context.Background(), c.Config, stdout)
	if err != nil {
		return err
	}
	defer s.peers.Close()
	switch name {
	case "validate":
		return errors.Join(c.Validate.execute(stdout, reviewDeployment), s.printDiffs(c.Validate.Args.Files))
	case "diff":
		return s.printDiff(c.Diff.Args.File)
	case "apply":
		return c.Apply.execute(s)
	case "status":
		return s.printStatus()
	case "history":
		return s.printHistory()
	default:
		return c.Rollback.execute(s)
	}
}

func (c *applyCommand) execute(s *session) error {
	next, warnings, err := readDocument(c.Args.File)
	if err != nil {
		return err
	}
	if err := c.report(warnings, s.out); err != nil {
		return err
	}
	var base *comfreyworks.ConfigRevision
	if c.Base != nil {
		base = new(comfreyworks.ConfigRevision(*c.Base))
	}
	s.weightsLoaded = c.WeightsLoaded
	number, err := s.apply(next, base, c.Author, c.Message)
	return c.finish(s, number, err)
}

func (c *rollbackCommand) execute(s *session) error {
	s.weightsLoaded = c.WeightsLoaded
	number, err := s.rollback(comfreyworks.ConfigRevision(c.Args.Revision), c.Author)
	return c.finish(s, number, err)
}

// finish waits for the new revision if --wait is set.
func (c *changeOptions) finish(s *session, number comfreyworks.ConfigRevision, err error) error {
	if err != nil || !c.Wait {
		return err
	}
	return s.waitInForce(number, c.Timeout)
}

// report prints warnings. With --strict it returns them as an error instead.
func (o strictOption) report(warnings settings.Problems, stdout io.Writer) error {
	if o.Strict && len(warnings) > 0 {
		return warnings
	}
	for _, warning := range warnings {
		_, _ = fmt.Fprintf(stdout, "warning: %s\n", warning)
	}
	return nil
}

// execute checks all files, even after errors, so that one run reports every
// mistake.
func (c *validateCommand) execute(stdout io.Writer, check func(file string) (settings.Problems, error)) error {
	var all []error
	for _, file := range c.Args.Files {
		warnings, err := check(file)
		if err == nil {
			err = c.report(warnings, stdout)
		}
		if err != nil {
			all = append(all, err)
			continue
		}
		_, _ = fmt.Fprintf(stdout, "%s: settings are good\n", file)
	}
	return errors.Join(all...)
}

// reviewDeployment checks a deployment file.
func reviewDeployment(file string) (settings.Problems, error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	_, warnings, err := settings.ReviewDeployment(file, source)
	return warnings, err
}
