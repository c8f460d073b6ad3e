package peering

import (
	"context"
	"time"

	"go.uber.org/zap"

	"comfreyworks"
)

// followRegistry records this gateway and looks for others.
func (p *Peering) followRegistry(ctx context.Context) error {
	registered := false
	for {
		if !registered {
			registered = p.register(ctx)
		}
		p.readRegistry(ctx)
		pause := registryInterval
		if !registered || len(p.recent()) == 0 {
			pause = lonelyInterval
		}
		if !comfreyworks.Sleep(ctx, p.options.Clock, pause) {
			return nil
		}
	}
}

func (p *Peering) register(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := p.options.Registry.Register(ctx, p.options.Self); err != nil {
		p.options.Logger.Warn("gateway not registered", zap.Error(err))
		return false
	}
	return true
}

func (p *Peering) readRegistry(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	registered, err := p.options.Registry.Registered(ctx)
	if err != nil {
		p.options.Logger.Debug("registry not read", zap.Error(err))
		return
	}
	now := p.options.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range registered {
		if other.Address == p.options.Self.Address || p.peers[other.Address] != nil {
			continue
		}
		// Whether it still lives is found out by asking; that takes a while.
		p.peers[other.Address] = &peer{heardAt: now.Add(-forgottenAfter + time.Second)}
	}
}
