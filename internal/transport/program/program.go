// Package program is what all programs of the project share: the command line,
// settings, logs, signals and exit codes.
//
// # Usage
//
//	func main() {
//		os.Exit(program.Main("entry", os.Args[1:], run))
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
	// ExitFailure means that the program ran and failed.
	ExitFailure ExitCode = 1
	// ExitUsage means that the command line was wrong.
	ExitUsage ExitCode = 2
	// ExitSettings means that a settings file was wrong.
	ExitSettings ExitCode = 3
	// ExitListen means that an address could not be listened on.
	ExitListen ExitCode = 4
)

// Flags are the options of the serving programs.
type Flags struct {
	Config      string `long:"config" description:"instance settings file" value-name:"FILE"`
	CheckConfig bool   `long:"check-config" description:"check the settings, print what is wrong and exit"`
	LogLevel    string `long:"log-level" description:"least level of log lines" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"info"`
	Version     bool   `long:"version" description:"print the version and exit"`
}

// Environment is what a serving program gets.
type Environment struct {
	Instance   *settings.Instance
	Deployment *settings.Deployment
	Clock      comfreyworks.Clock
	Logger     *zap.Logger
	Meter      *meter.Meter
	HTTP       *http.Client
	// Admin is where health and metrics are served; nil means nowhere.
	Admin net.Listener
}

// Serve runs a program on its listener until ctx ends.
type Serve func(ctx context.Context, env Environment, listener net.Listener) error

// Main runs a serving program and returns its exit code.
func Main(name string, role comfreyworks.Role, args []string, serve Serve) ExitCode {
	var f Flags
	if code, done := parseFlags(name, args, &f); done {
		return code
	}
	switch {
	case f.Version:
		fmt.Println(name, Version)
		return ExitOK
	case f.Config == "":
		return fail(ExitUsage, errors.New("--config is missing"))
	}
	return start(name, role, f, serve)
}

// parseFlags reads a command line into flags. It returns done, with the exit
// code, if the program has nothing more to do.
func parseFlags(name string, args []string, into any) (code ExitCode, done bool) {
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", into); err != nil {
		return fail(ExitUsage, err), true
	}
	rest, err := parser.ParseArgs(args)
	switch {
	case flags.WroteHelp(err):
		fmt.Println(err)
		return ExitOK, true
	case err != nil:
		return fail(ExitUsage, err), true
	case len(rest) > 0:
		return fail(ExitUsage, fmt.Errorf("unexpected argument %q", rest[0])), true
	default:
		return ExitOK, false
	}
}

func start(name string, role comfreyworks.Role, f Flags, serve Serve) ExitCode {
	instance, deployment, err := Load(f.Config, role)
	if err != nil {
		return fail(ExitSettings, err)
	}
	if f.CheckConfig {
		fmt.Printf("%s: settings are good\n", f.Config)
		return ExitOK
	}
	logger, err := NewLogger(f.LogLevel, os.Stderr)
	if err != nil {
		return fail(ExitUsage, err)
	}
	defer func() { _ = logger.Sync() }()
	listener, err := net.Listen("tcp", instance.Listen.String())
	if err != nil {
		return fail(ExitListen, err)
	}
	var admin net.Listener
	if instance.AdminListen.IsValid() {
		if admin, err = net.Listen("tcp", instance.AdminListen.String()); err != nil {
			return fail(ExitListen, err)
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
	if err := serve(ctx, env, listener); err != nil {
		return fail(ExitFailure, err)
	}
	return ExitOK
}

func fail(code ExitCode, err error) ExitCode {
	fmt.Fprintln(os.Stderr, err)
	return code
}

// Load reads an instance file and the deployment file that it names. A wrong
// file is reported with all its mistakes.
func Load(path string, role comfreyworks.Role) (*settings.Instance, *settings.Deployment, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, eris.Wrap(err, "read settings")
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
		return nil, nil, eris.Wrap(err, "read settings")
	}
	deployment, err := settings.ReadDeployment(deploymentPath, source)
	if err != nil {
		return nil, nil, err
	}
	return instance, deployment, nil
}

// NewLogger returns a logger of JSON lines.
func NewLogger(level string, w io.Writer) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, eris.Wrap(err, "log level")
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.Lock(zapcore.AddSync(w)), parsed)
	return zap.New(core), nil
}

// Limits of the HTTP client towards upstreams and the platform.
const (
	idleConnsPerHost = 256
	idleConnTimeout  = 30 * time.Second
	dialTimeout      = time.Second
)

// NewHTTPClient returns a client for upstreams and the platform. It has no
// timeout of its own: every call has a context.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}}
}
