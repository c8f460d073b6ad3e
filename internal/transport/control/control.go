// Package control is the operators' command line.
//
// # Usage
//
//	os.Exit(control.Main(os.Args[1:], os.Stdout, os.Stderr))
//
// Exit codes are those of package program.
package control

import (
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"comfreyworks/internal/state/settings"
	"comfreyworks/internal/transport/program"
)

// commands are the subcommands and the options before them.
type commands struct {
	Version  func()          `long:"version" description:"print the version and exit"`
	Validate validateCommand `command:"validate" description:"check deployment files and print every mistake"`
}

// validateCommand checks deployment files.
type validateCommand struct {
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes"`
}

// Main runs one command and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) program.ExitCode {
	code := program.ExitOK
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
	case err != nil:
		_, _ = fmt.Fprintln(stderr, err)
		return program.ExitUsage
	case parser.Active == nil && len(rest) > 0:
		_, _ = fmt.Fprintf(stderr, "unknown command %q\n", rest[0])
		return program.ExitUsage
	case versionShown:
	case parser.Active == nil:
		parser.WriteHelp(stderr)
		return program.ExitUsage
	default:
		code = validate(c.Validate.Args.Files, stdout, stderr)
	}
	return code
}

// validate checks every file, so that one run shows every mistake.
func validate(files []string, stdout, stderr io.Writer) program.ExitCode {
	code := program.ExitOK
	for _, file := range files {
		source, err := os.ReadFile(file)
		if err == nil {
			_, err = settings.ReadDeployment(file, source)
		}
		if err != nil {
			code = program.ExitSettings
			_, _ = fmt.Fprintln(stderr, err)
			continue
		}
		_, _ = fmt.Fprintf(stdout, "%s: settings are good\n", file)
	}
	return code
}
