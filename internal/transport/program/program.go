// Package program implements what the programs of this project have in common:
// command line flags, settings, logging, signals and exit codes.
//
// # Usage
//
//	func main() {
//		os.Exit(program.Main("entry", comfreyworks.RoleEntry, os.Args[1:], serve))
//	}
//
// Exit codes are listed at ExitCode.
package program

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"comfreyworks"
	"comfreyworks/internal/protocol/httpclient"
	"comfreyworks/internal/state/faults"
	"comfreyworks/internal/state/meter"
	"comfreyworks/internal/state/settings"
)

// Version is the version of all programs.
const Version = "0.1.0"

// ExitCode is the exit code of a program.
type ExitCode = int

// Exit codes.
const (
	ExitOK ExitCode = 0
	// ExitFailure means that the program failed while running.
	ExitFailure ExitCode = 1
	// ExitUsage means that the command line was invalid.
	ExitUsage ExitCode = 2
	// ExitSettings means that a settings file was missing or invalid.
	ExitSettings ExitCode = 3
	// ExitListen means that the program could not listen on an address.
	ExitListen ExitCode = 4
)

// MainFlags holds the command line flags of programs that are started by Main.
type MainFlags struct {
	Config      string `long:"config" description:"instance settings file" value-name:"FILE"`
	CheckConfig bool   `long:"check-config" description:"check the settings, print what is wrong and exit"`
	LogLevel    string `long:"log-level" description:"least level of log lines" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"info"`
	Version     bool   `long:"version" description:"print the version and exit"`
}

// Environment holds the settings and dependencies that Main passes to a Serve
// function.
type Environment struct {
	Instance   *settings.Instance
	Deployment *settings.Deployment
	Clock      comfreyworks.Clock
	Logger     *zap.Logger
	Meter      *meter.Meter
	HTTP       *http.Client
	// Admin is the listener for health checks and metrics; nil if none is
	// configured.
	Admin net.Listener
}

// Serve serves requests on a listener until ctx ends.
type Serve func(ctx context.Context, env Environment, listener net.Listener) error

// Main runs a program whose settings are an instance file and a deployment file,
// and returns its exit code. Its log goes to standard error.
func Main(name string, role comfreyworks.Role, args []string, serve Serve) ExitCode {
	hangups := Hangups()
	var f MainFlags
	if code, done := parseFlags(name, args, &f); done {
		return code
	}
	switch {
	case f.Version:
		fmt.Println(name, Version)
		return ExitOK
	case f.Config == "":
		return reportError(ExitUsage, errors.New("--config is missing"))
	}
	return serveInstance(name, role, f, hangups, serve)
}

// parseFlags parses a command line into a struct of flags. If the program is to
// exit, it returns done and the exit code.
func parseFlags(name string, args []string, options any) (code ExitCode, done bool) {
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", options); err != nil {
		return reportError(ExitUsage, err), true
	}
	rest, err := parser.ParseArgs(args)
	switch {
	case flags.WroteHelp(err):
		fmt.Println(err)
		return ExitOK, true
	case err != nil:
		return reportError(ExitUsage, err), true
	case len(rest) > 0:
		return reportError(ExitUsage, fmt.Errorf("unexpected argument %q", rest[0])), true
	default:
		return ExitOK, false
	}
}

// serveInstance loads the settings, listens on the configured addresses and calls
// serve until the process receives a signal to stop. At each SIGHUP it checks the settings again.
func serveInstance(name string, role comfreyworks.Role, f MainFlags, hangups <-chan os.Signal, serve Serve) ExitCode {
	instance, deployment, err := LoadSettings(f.Config, role)
	if err != nil {
		return reportError(ExitSettings, err)
	}
	if f.CheckConfig {
		fmt.Printf("%s: settings are good\n", f.Config)
		return ExitOK
	}
	logger, err := NewLogger(f.LogLevel, os.Stderr)
	if err != nil {
		return reportError(ExitUsage, err)
	}
	defer func() { _ = logger.Sync() }()
	listener, err := net.Listen("tcp", instance.Listen.String())
	if err != nil {
		return reportError(ExitListen, err)
	}
	var admin net.Listener
	if instance.AdminListen.IsValid() {
		if admin, err = net.Listen("tcp", instance.AdminListen.String()); err != nil {
			return reportError(ExitListen, err)
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	env := Environment{
		Instance:   instance,
		Deployment: deployment,
		Clock:      clockwork.NewRealClock(),
		Logger:     logger.With(zap.String("program", name), zap.String("instance", string(instance.ID))),
		Meter:      meter.New(),
		HTTP:       NewHTTPClient(),
		Admin:      admin,
	}
	recorder := faults.New(faults.Options{Clock: env.Clock, Logger: env.Logger, Meter: env.Meter})
	stopChecking := CheckOnHangup(ctx, env.Logger, hangups, func() error {
		return recorder.Try("settings", func() error {
			_, _, err := LoadSettings(f.Config, role)
			return err
		})
	})
	defer stopChecking()
	if err := serve(ctx, env, listener); err != nil {
		return reportError(ExitFailure, err)
	}
	return ExitOK
}

// reportError prints err to standard error and returns code.
func reportError(code ExitCode, err error) ExitCode {
	fmt.Fprintln(os.Stderr, err)
	return code
}

// LoadSettings reads an instance file and the deployment file that it names. The
// error for an invalid file lists all its mistakes.
func LoadSettings(path string, role comfreyworks.Role) (*settings.Instance, *settings.Deployment, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, eris.Wrap(err, "read the instance file")
	}
	instance, err := settings.ReadInstance(path, source)
	if err != nil {
		return nil, nil, err
	}
	if instance.Role != role {
		return nil, nil, eris.Errorf("%s: role: found %q, expected %q", path, instance.Role, role)
	}
	deploymentPath := filepath.Join(filepath.Dir(path), instance.DeploymentFile)
	source, err = os.ReadFile(deploymentPath)
	if err != nil {
		return nil, nil, eris.Wrap(err, "read the deployment file")
	}
	deployment, err := settings.ReadDeployment(deploymentPath, source)
	if err != nil {
		return nil, nil, err
	}
	return instance, deployment, nil
}

// NewLogger returns a logger that writes JSON lines of at least the given level.
func NewLogger(level string, w io.Writer) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, eris.Wrap(err, "parse the log level")
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.Lock(zapcore.AddSync(w)), parsed)
	return zap.New(core), nil
}

// Limits of the HTTP client for upstreams and the platform.
const (
	idleConnsPerHost = 256
	idleConnTimeout  = 30 * time.Second
	dialTimeout      = time.Second
	// maxHeaderBytes is the maximum size of a response header.
	maxHeaderBytes = 64 << 10
)

// NewHTTPClient returns a client for upstreams and the platform. It sets no
// timeout for whole requests, because every request is bounded by its context.
func NewHTTPClient() *http.Client {
	return httpclient.New(&http.Client{Transport: &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    idleConnsPerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}})
}
