// Program gateway takes callers' requests on the users' platform and passes
// them to upstreams.
//
// # Usage
//
//	COMFREYWORKS_SETTINGS=settings.toml gateway
package main

import (
	"context"
	"net"
	"net/netip"
	"os"

	"go.uber.org/zap"

	"comfreyworks/internal/state/bootclock"
	"comfreyworks/internal/state/meter"
	"comfreyworks/internal/transport/gateway"
	"comfreyworks/internal/transport/program"
	"comfreyworks/platform"
)

func main() { os.Exit(program.Run("gateway", os.Args[1:], run)) }

func run(ctx context.Context, logger *zap.Logger, check bool) error {
	settings, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil || check {
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
	if settings.Gateway.PeerListen.IsValid() {
		if listeners.Peers, err = listen(settings.Gateway.PeerListen); err != nil {
			return err
		}
	}
	client := program.NewHTTPClient()
	replicas := platform.NewReplicas(client)
	store := platform.NewStore(settings.Store, client, logger)
	return gateway.New(gateway.Options{
		Settings: settings.Gateway, Declarations: store, Upstreams: store, Leases: store, Registry: store,
		Loader: replicas, Caches: replicas,
		Clock: bootclock.New(), Logger: logger, Meter: meter.New(),
	}).Run(ctx, listeners)
}

func listen(address netip.AddrPort) (net.Listener, error) { return net.Listen("tcp", address.String()) }
