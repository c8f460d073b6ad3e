// Program gateway takes callers' requests on the users' platform and passes
// them to upstreams.
//
// # Usage
//
//	gateway --metrics-port 9109
//
// The platform names the settings file in the environment. SIGTERM stops the
// program gracefully; SIGHUP reads and checks the settings again.
package main

import (
	"context"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"comfreyworks/internal/state/bootclock"
	"comfreyworks/internal/state/meter"
	"comfreyworks/internal/transport/gateway"
	"comfreyworks/internal/transport/program"
	"comfreyworks/platform"
)

func main() { os.Exit(program.Run("gateway", os.Args[1:], run)) }

func run(ctx context.Context, logger *zap.Logger, f program.RunFlags) error {
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
	replicas := platform.NewReplicas(client)
	store := platform.NewStore(settings.Store, client, logger)
	stop := onHangup(ctx, logger)
	defer stop()
	return gateway.New(gateway.Options{
		Settings: settings.Gateway, Declarations: store, Upstreams: store, Leases: store, Registry: store,
		Loader: replicas, Caches: replicas,
		Clock: bootclock.New(), Logger: logger, Meter: meter.New(),
	}).Run(ctx, listeners)
}

func listen(address netip.AddrPort) (net.Listener, error) { return net.Listen("tcp", address.String()) }

// onHangup reads the settings again at each SIGHUP. Addresses and bounds are
// fixed at the start; what can be told is whether the next start would work.
func onHangup(ctx context.Context, logger *zap.Logger) (stop func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, cancel := context.WithCancel(ctx)
	var group errgroup.Group
	group.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-hangups:
				_, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
				logger.Info("settings read again", zap.Error(err))
			}
		}
	})
	return func() {
		signal.Stop(hangups)
		cancel()
		_ = group.Wait()
	}
}
