package peering

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"comfreyworks"
)

const (
	// noticeBatchDelay is how long notices are collected before they are sent.
	noticeBatchDelay = 20 * time.Millisecond
	// maxPendingNotices limits the notices that wait to be sent. Notices beyond it
	// replace the oldest ones: later notices about an engine matter more.
	maxPendingNotices = 4096
	// maxNoticeCalls limits the concurrent calls that pass on one batch.
	maxNoticeCalls = 16
)

// outbox holds notices that are to be passed on.
type outbox struct {
	mu sync.Mutex
	// toAll go to every neighbour, toLeaves only to leaves.
	toAll, toLeaves []comfreyworks.WeightsLoadNotice
	ready           chan struct{}
}

func newOutbox() outbox { return outbox{ready: make(chan struct{}, 1)} }

// add adds notices and signals that there are some.
func (o *outbox) add(notices []comfreyworks.WeightsLoadNotice, leavesOnly bool) {
	if len(notices) == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	queue := &o.toAll
	if leavesOnly {
		queue = &o.toLeaves
	}
	*queue = append(*queue, notices...)
	if excess := len(*queue) - maxPendingNotices; excess > 0 {
		*queue = (*queue)[excess:]
	}
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

// take removes and returns the notices.
func (o *outbox) take() (toAll, toLeaves []comfreyworks.WeightsLoadNotice) {
	o.mu.Lock()
	defer o.mu.Unlock()
	toAll, toLeaves, o.toAll, o.toLeaves = o.toAll, o.toLeaves, nil, nil
	return toAll, toLeaves
}

// Announce passes a notice of this gateway to all others: from a leaf through its
// relay, from a relay to its leaves and, through the other relays, to theirs.
// Notices that are given in quick succession are sent together. Announce does not
// wait.
func (p *Peering) Announce(notice comfreyworks.WeightsLoadNotice) {
	p.outbox.add([]comfreyworks.WeightsLoadNotice{notice}, false)
}

// HandleNotify applies the notices that a peer sent and passes on those that are
// new: a relay passes notices from a relay to its leaves, and notices from a leaf
// to its leaves and to the other relays.
func (p *Peering) HandleNotify(notices comfreyworks.WeightsLoadNotices) {
	var fresh []comfreyworks.WeightsLoadNotice
	for _, notice := range notices.Notices {
		if p.options.Balancer.ApplyLoadNotice(notice) {
			fresh = append(fresh, notice)
		}
	}
	p.mu.Lock()
	relay := p.relay
	p.mu.Unlock()
	if relay {
		p.outbox.add(fresh, notices.Role == comfreyworks.PeerRelay)
	}
}

// sendNotices sends batches of notices until ctx ends.
func (p *Peering) sendNotices(ctx context.Context) error {
	for {
		select {
		case <-p.outbox.ready:
		case <-ctx.Done():
			return nil
		}
		if !comfreyworks.Sleep(ctx, p.options.Clock, noticeBatchDelay) {
			return nil
		}
		p.flushNotices(ctx)
	}
}

// flushNotices sends the pending notices to all neighbours and returns when all
// have answered or the timeout has passed.
func (p *Peering) flushNotices(ctx context.Context) {
	toAll, toLeaves := p.outbox.take()
	p.mu.Lock()
	batch := comfreyworks.WeightsLoadNotices{From: p.options.Self.ID, Role: p.role()}
	partners := p.partners
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxNoticeCalls)
	for address := range p.neighbours() {
		notices := toAll
		if !partners[address] {
			notices = append(toAll[:len(toAll):len(toAll)], toLeaves...)
		}
		if len(notices) == 0 {
			continue
		}
		group.Go(func() error {
			p.options.Faults.Run("peering-notices", func() { p.notify(ctx, address, batch, notices) })
			return nil
		})
	}
	_ = group.Wait()
}

func (p *Peering) notify(ctx context.Context, to netip.AddrPort, batch comfreyworks.WeightsLoadNotices, notices []comfreyworks.WeightsLoadNotice) {
	batch.Notices = notices
	if err := p.options.NewClient(to).Notify(ctx, batch); err != nil {
		p.options.Logger.Debug("failed to notify peer of weights loads", zap.Stringer("address", to), zap.Error(err))
	}
}
