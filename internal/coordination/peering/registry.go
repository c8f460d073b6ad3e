package peering

import (
	"context"
	"time"

	"go.uber.org/zap"

	"comfreyworks"
)

// pollRegistry registers this gateway and looks for new peers until ctx ends.
func (p *Peering) pollRegistry(ctx context.Context) error {
	registered := false
	for {
		if !registered {
			registered = p.register(ctx)
		}
		p.readRegistry(ctx)
		pause := registryInterval
		if !registered || len(p.reachablePeers()) == 0 {
			pause = isolatedRegistryInterval
		}
		if !comfreyworks.Sleep(ctx, p.options.Clock, pause) {
			return nil
		}
	}
}

// register reports whether this gateway could be registered.
func (p *Peering) register(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := p.options.Registry.Register(ctx, p.options.Self); err != nil {
		p.options.Logger.Warn("failed to register this gateway", zap.Error(err))
		return false
	}
	return true
}

// readRegistry adds the registered gateways that are not yet known.
func (p *Peering) readRegistry(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	registered, err := p.options.Registry.Registered(ctx)
	if err != nil {
		p.options.Logger.Debug("failed to read gateway registry", zap.Error(err))
		return
	}
	now := p.options.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range registered {
		if other.Address == p.options.Self.Address || p.peers[other.Address] != nil {
			continue
		}
		// The gateway may no longer exist. It expires after one second unless it
		// answers.
		p.peers[other.Address] = &peer{heardAt: now.Add(-peerExpiry + time.Second)}
	}
}
