package peering

import (
	"cmp"
	"math/bits"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreyworks"
	"comfreyworks/internal/state/rendezvous"
)

const (
	// memberExpiry is how long a gateway that no relay hears of is listed. Relays
	// report the gateways that call them once per attachedListInterval.
	memberExpiry = 8 * time.Second
	// tombstoneRetention is how long the list records that a gateway is gone. A
	// gateway with an older version of the list gets the whole list.
	tombstoneRetention = 30 * time.Second
	// unreachablePause is how long a gateway that did not answer is not chosen as a
	// relay.
	unreachablePause = 2 * time.Second
	// relaysPerZone is the number of relays of an availability zone. The second one
	// continues at once when the first fails.
	relaysPerZone = 2
)

// member is another gateway.
type member struct {
	comfreyworks.GatewayPeer
	rank relayRank
	// heardAt is when any gateway last heard of it, directAt when it last called or
	// answered this gateway, and attachedAt when it last called as a leaf.
	heardAt, directAt, attachedAt time.Time
	// unreachableUntil is the end of the pause after a failed call.
	unreachableUntil time.Time
	// changed is the version of the list in which the member last changed.
	changed uint64
	// demandsSentAt is when this gateway last sent it demands.
	demandsSentAt time.Time
	// listSentAt is when this gateway last sent it the list of its leaves.
	listSentAt time.Time
	// pacesSentAt is when this gateway last sent it the speeds of engines.
	pacesSentAt time.Time
	// known is the version of the member's own list that this gateway has.
	known comfreyworks.ListVersion
	// savedKnown is the version of the member's list of saved sessions that this
	// gateway has, savedSent the version of its own list that it has sent.
	savedKnown comfreyworks.ListVersion
	savedSent  uint64
	// originsKnown and originsSent are the same for the origins of streams.
	originsKnown comfreyworks.ListVersion
	originsSent  uint64
	// crashesKnown and crashesSent are the same for suspicions.
	crashesKnown comfreyworks.ListVersion
	crashesSent  uint64
	// usageKnown and usageSent are the same for usage counts.
	usageKnown comfreyworks.ListVersion
	usageSent  uint64
	// listedBy is the relay whose list contains the member, if this gateway is a leaf
	// of that relay.
	listedBy netip.AddrPort
}

// memberList is the list of the other gateways. Its methods are not safe for
// concurrent use.
type memberList struct {
	self    comfreyworks.GatewayPeer
	rank    relayRank
	members map[netip.AddrPort]*member
	version comfreyworks.ListVersion
	// oldest is the lowest version from which changes can be listed.
	oldest uint64
}

func newMemberList(self comfreyworks.GatewayPeer, process uint64) memberList {
	return memberList{
		self: self, rank: rankOf(self), members: make(map[netip.AddrPort]*member),
		version: comfreyworks.ListVersion{Process: process, Version: 1},
	}
}

// record adds a gateway or updates when it was last heard of. It returns nil for
// this gateway, for an invalid address and for a gateway that has expired.
func (l *memberList) record(peer comfreyworks.GatewayPeer, heardAt, now time.Time) *member {
	if peer.Address == l.self.Address || !peer.Address.IsValid() || peer.ID == "" || now.Sub(heardAt) > memberExpiry {
		return nil
	}
	known := l.members[peer.Address]
	if known == nil {
		known = &member{}
		l.members[peer.Address] = known
	}
	if heardAt.After(now) {
		heardAt = now
	}
	changed := known.ID != peer.ID || known.Zone != peer.Zone || known.Capacity != peer.Capacity || known.Gone
	if !heardAt.After(known.heardAt) {
		return known
	}
	known.heardAt = heardAt
	known.ID, known.Address, known.Zone, known.Capacity, known.Gone = peer.ID, peer.Address, peer.Zone, peer.Capacity, false
	if changed {
		known.rank = rankOf(known.GatewayPeer)
		l.touch(known)
	}
	return known
}

func (l *memberList) touch(m *member) {
	l.version.Version++
	m.changed = l.version.Version
}

// expire marks members that nobody has heard of for memberExpiry as gone and
// removes them later. It returns those that it marked.
func (l *memberList) expire(now time.Time) []*member {
	var expired []*member
	for address, m := range l.members {
		silent := now.Sub(m.heardAt)
		switch {
		case silent > memberExpiry+tombstoneRetention:
			l.oldest = max(l.oldest, m.changed)
			delete(l.members, address)
		case silent > memberExpiry && !m.Gone:
			m.Gone = true
			// Its list may contain others that expired here while this gateway was cut off.
			m.known = comfreyworks.ListVersion{}
			l.touch(m)
			expired = append(expired, m)
			if relay := l.members[m.listedBy]; relay != nil {
				// The relay still lists the member and would not report it again.
				relay.known = comfreyworks.ListVersion{}
			}
		}
	}
	return expired
}

// present returns the members that are not gone.
func (l *memberList) present() []*member {
	present := make([]*member, 0, len(l.members))
	for _, m := range l.members {
		if !m.Gone {
			present = append(present, m)
		}
	}
	return present
}

// changesAfter returns the members that changed after a version of this list. If
// the changes are not known, it returns all that are present.
func (l *memberList) changesAfter(known comfreyworks.ListVersion, now time.Time) []comfreyworks.GatewayPeer {
	whole := known.Process != l.version.Process || known.Version < l.oldest
	var changes []comfreyworks.GatewayPeer
	for _, m := range l.members {
		if (whole && !m.Gone) || (!whole && m.changed > known.Version) {
			changes = append(changes, m.report(now))
		}
	}
	return changes
}

// report returns the member as it is sent to other gateways.
func (m *member) report(now time.Time) comfreyworks.GatewayPeer {
	report := m.GatewayPeer
	report.HeardAgo = now.Sub(m.heardAt)
	return report
}

// confirm records that a relay still lists the members that it reported.
func (l *memberList) confirm(relay netip.AddrPort, now time.Time) {
	for _, m := range l.members {
		if !m.Gone && m.listedBy == relay && now.After(m.heardAt) {
			m.heardAt = now
		}
	}
}

// relayRank ranks the gateways of an availability zone as relays.
type relayRank struct {
	// size is the length of the capacity in bits.
	size  int
	score uint64
}

func rankOf(gateway comfreyworks.GatewayPeer) relayRank {
	key := xxhash.Sum64String("relay/" + string(gateway.Zone))
	return relayRank{
		size:  bits.Len(uint(max(gateway.Capacity, 0))),
		score: rendezvous.Score(rendezvous.Seed(string(gateway.ID)), key),
	}
}

func (r relayRank) compare(other relayRank) int {
	return cmp.Or(cmp.Compare(r.size, other.size), cmp.Compare(r.score, other.score))
}

// zoneRelay is a relay with its rank.
type zoneRelay struct {
	address netip.AddrPort
	rank    relayRank
}

// relays returns the relays of every availability zone, including this gateway if
// it is one, by descending rank. The relays of a zone are the gateways with the
// highest capacity, by powers of two; rendezvous hashing decides among equal ones.
// Gateways that see the same members agree. Members that recently did not answer
// are not chosen.
func (l *memberList) relays(now time.Time) map[comfreyworks.Zone][]zoneRelay {
	zones := map[comfreyworks.Zone][]zoneRelay{l.self.Zone: {{l.self.Address, l.rank}}}
	for _, m := range l.members {
		if !m.Gone && !now.Before(m.unreachableUntil) {
			zones[m.Zone] = insertRelay(zones[m.Zone], zoneRelay{m.Address, m.rank})
		}
	}
	return zones
}

// insertRelay inserts a gateway into the relays of a zone if its rank is high
// enough.
func insertRelay(relays []zoneRelay, gateway zoneRelay) []zoneRelay {
	at, _ := slices.BinarySearchFunc(relays, gateway, func(a, b zoneRelay) int { return b.rank.compare(a.rank) })
	if at == relaysPerZone {
		return relays
	}
	relays = slices.Insert(relays, at, gateway)
	return relays[:min(relaysPerZone, len(relays))]
}
