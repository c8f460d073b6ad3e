// Program gateway forwards callers' requests to upstreams, with its settings,
// routing and list of upstreams taken from the platform.
//
// # Usage
//
//	gateway --metrics-port 9109
//
// The environment variable [platform.SettingsVariable] holds the path of the
// settings file. SIGTERM stops the program gracefully; SIGHUP makes it read and
// check the settings file again without applying it.
package main

import (
	"context"
	"net"
	"net/netip"
	"os"

	"go.uber.org/zap"

	"comfreyworks/internal/state/bootclock"
	"comfreyworks/internal/state/faults"
	"comfreyworks/internal/state/memory"
	"comfreyworks/internal/state/meter"
	"comfreyworks/internal/transport/gateway"
	"comfreyworks/internal/transport/program"
	"comfreyworks/platform"
)

func main() {
	hangups := program.Hangups()
	os.Exit(program.Run("gateway", os.Args[1:], func(ctx context.Context, logger *zap.Logger, f program.RunFlags) error {
		return run(ctx, logger, f, hangups)
	}))
}

func run(ctx context.Context, logger *zap.Logger, f program.RunFlags, hangups <-chan os.Signal) error {
	settings, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil || f.CheckConfig {
		return err
	}
	logger = logger.With(zap.String("instance", string(settings.Gateway.ID)))
	var listeners gateway.Listeners
	if listeners.Requests, err = listen(settings.Gateway.Listen); err != nil {
		return err
	}
	if listeners.Ready, err = listen(settings.Gateway.ReadyListen); err != nil {
		return err
	}
	if f.MetricsPort != 0 {
		address := netip.AddrPortFrom(settings.Gateway.Listen.Addr(), f.MetricsPort)
		if listeners.Metrics, err = listen(address); err != nil {
			return err
		}
	}
	if settings.Gateway.PeerListen.IsValid() {
		if listeners.Peers, err = listen(settings.Gateway.PeerListen); err != nil {
			return err
		}
	}
	client := program.NewHTTPClient()
	upstreams := platform.NewReplicaClient(client)
	store := platform.NewStoreClient(settings.StoreAddress, client, logger)
	clock, metrics := bootclock.New(), meter.New()
	budget := memory.ForProcess(settings.Gateway.MemoryBytes, memory.RelayedAnswers, clock, metrics)
	upstreams.LimitMemory(budget)
	store.LimitMemory(budget)
	recorder := faults.New(faults.Options{Clock: clock, Logger: logger, Meter: metrics})
	store.RecordFaults(recorder)
	upstreams.RecordFaults(recorder)
	stop := program.CheckOnHangup(ctx, logger, hangups, func() error {
		return recorder.Try("settings", func() error {
			_, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
			return err
		})
	})
	defer stop()
	return gateway.New(gateway.Options{
		Settings: settings.Gateway, Declarations: store, Upstreams: store, Leases: store, Registry: store, Releases: store, Crashes: store,
		Loader: upstreams, Caches: upstreams,
		Clock: clock, Logger: logger, Meter: metrics, Memory: budget, Faults: recorder,
	}).Run(ctx, listeners)
}

func listen(address netip.AddrPort) (net.Listener, error) { return net.Listen("tcp", address.String()) }
