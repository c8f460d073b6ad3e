package trouble

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"comfreyworks/cmd/soak/internal/fleet"
	"comfreyworks/internal/standin/replica"
	"comfreyworks/platform"
)

const (
	// memoryStream selects the random numbers of EndlessAnswers and Crowd.
	memoryStream = 13
	// memoryInterval is the mean time between two events of a kind.
	memoryInterval = 4 * time.Second
	// minEndless is the number of replicas whose answers don't end, at least.
	minEndless = 3
	// crowdCallers is the number of connections of a crowd: half of them send the body of a
	// request, the others a header of short lines, without its end.
	crowdCallers = 200
	// crowdBody and crowdHeader are the sizes of these, within the limits of the fleet.
	crowdBody, crowdHeader = 1<<20 - 10, 15 << 10
)

// addMemory adds events in which a gateway has more to hold than its memory. They are drawn
// apart from the others.
func (p *Plan) addMemory(seed uint64, length time.Duration, gateways int) {
	rng := rand.New(rand.NewPCG(seed, memoryStream))
	for _, kind := range []Kind{EndlessAnswers, Crowd} {
		for at := time.Duration(0); at < length; at += time.Duration(rng.Int64N(int64(2 * memoryInterval))) {
			p.Events = append(p.Events, Event{
				Kind: kind, Start: at, Duration: randomDuration(rng), Gateway: rng.IntN(gateways), Seed: rng.Uint64(), FailureRate: 1,
				Fault: []replica.Fault{replica.FaultEndlessHead, replica.FaultEndlessBody}[rng.IntN(2)],
			})
		}
	}
}

// answerWithoutEnd makes all answers of random replicas endless and returns a function that
// ends that.
func (e *Event) answerWithoutEnd(f *fleet.Fleet) (end func()) {
	rng := rand.New(rand.NewPCG(e.Seed, memoryStream))
	var ends []func()
	for _, slot := range rng.Perm(fleet.Slots)[:minEndless+rng.IntN(fleet.Slots-minEndless+1)] {
		r := f.Replica(slot)
		undisturb := r.Disturb()
		r.SetFaultFunc(e.newFaultSource())
		ends = append(ends, func() {
			r.SetFaultFunc(nil)
			undisturb()
		})
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// crowd opens connections to a gateway that leave requests incomplete, and returns a function
// that closes them.
func crowd(address netip.AddrPort) (end func()) {
	names := platform.HeaderNames()
	header := fmt.Sprintf("POST /read/1 HTTP/1.1\r\nHost: %s\r\n%s: crowd\r\n%s: %s\r\n", fleet.Host, names.RequestID, names.APIKey, fleet.CrowdKey)
	requests := [][]byte{
		fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", header, crowdBody+1, make([]byte, crowdBody)),
		append([]byte(header), bytes.Repeat([]byte("a:\r\n"), crowdHeader/4)...),
	}
	var conns []net.Conn
	var group errgroup.Group
	for i := range crowdCallers {
		c, err := net.DialTimeout("tcp", address.String(), time.Second)
		if err != nil {
			continue
		}
		conns = append(conns, c)
		group.Go(func() error {
			// Ends when the connection is closed, here or by the gateway.
			_, _ = c.Write(requests[i%len(requests)])
			return nil
		})
	}
	return func() {
		for _, c := range conns {
			_ = c.Close()
		}
		_ = group.Wait()
	}
}
