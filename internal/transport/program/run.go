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

// RunFlags holds the command line flags of programs that are started by Run.
type RunFlags struct {
	CheckConfig bool   `long:"check-config" description:"check the settings, print what is wrong and exit"`
	MetricsPort uint16 `long:"metrics-port" description:"port for metrics on the instance's address; without it no metrics are served" value-name:"PORT"`
	LogLevel    string `long:"log-level" description:"least level of log lines" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"info"`
	Version     bool   `long:"version" description:"print the version and exit"`
}

// Run runs a program that loads its own settings until it receives a signal to
// stop, and returns its exit code. Its log goes to standard output. If
// CheckConfig is set, run must only check the settings and return.
func Run(name string, args []string, run func(ctx context.Context, logger *zap.Logger, f RunFlags) error) ExitCode {
	var f RunFlags
	if code, done := parseFlags(name, args, &f); done {
		return code
	}
	if f.Version {
		fmt.Println(name, Version)
		return ExitOK
	}
	out := newAsyncLineWriter(os.Stdout)
	defer out.Close()
	logger, err := NewLogger(f.LogLevel, out)
	if err != nil {
		return reportError(ExitUsage, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, withSampling(logger), f); err != nil && !errors.Is(err, context.Canceled) {
		logger.Error("program failed", zap.Error(err))
		return reportError(ExitFailure, err)
	}
	return ExitOK
}
