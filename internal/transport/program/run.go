package program

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
)

// CommonFlags are the options of programs whose settings come from elsewhere
// than the command line.
type CommonFlags struct {
	CheckConfig bool   `long:"check-config" description:"check the settings, print what is wrong and exit"`
	MetricsPort uint16 `long:"metrics-port" description:"port for metrics on the instance's address; none without" value-name:"PORT"`
	LogLevel    string `long:"log-level" description:"least level of log lines" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"info"`
	Version     bool   `long:"version" description:"print the version and exit"`
}

// Run runs a program until it is told to stop and returns its exit code. Its
// log goes to standard output. With CheckConfig set, run only checks its
// settings.
func Run(name string, args []string, run func(ctx context.Context, logger *zap.Logger, f CommonFlags) error) ExitCode {
	var f CommonFlags
	if code, done := parseFlags(name, args, &f); done {
		return code
	}
	if f.Version {
		fmt.Println(name, Version)
		return ExitOK
	}
	out := newLineWriter(os.Stdout)
	defer out.Close()
	logger, err := NewLogger(f.LogLevel, out)
	if err != nil {
		return fail(ExitUsage, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, sampled(logger), f); err != nil && !errors.Is(err, context.Canceled) {
		logger.Error("failed", zap.Error(err))
		return fail(ExitFailure, err)
	}
	return ExitOK
}
