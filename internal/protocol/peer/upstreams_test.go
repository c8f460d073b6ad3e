package peer

import (
	"net/netip"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"comfreyworks"
)

// listSender answers with a list that contains an upstream at port 0.
type listSender struct{}

func (listSender) Sync(_ comfreyworks.GatewayState, reply *comfreyworks.GatewayUpdate) error {
	sound := comfreyworks.Upstream{ID: "a", Pool: "lm", State: comfreyworks.InstanceLive, Address: netip.MustParseAddrPort("10.0.0.1:80")}
	odd := sound
	odd.ID, odd.Address = "odd", netip.MustParseAddrPort("10.0.0.1:0")
	reply.Upstreams = &comfreyworks.UpstreamChanges{Whole: true, Present: []comfreyworks.Upstream{odd, sound}, Next: 7}
	return nil
}

// TestOddUpstreamOfPeer guards against an upstream that cannot be used and that a gateway of
// another release passes on.
func TestOddUpstreamOfPeer(t *testing.T) {
	clients := NewClients(ClientOptions{Secret: secret, Clock: clockwork.NewRealClock()})
	defer clients.Close()
	update, err := clients.To(serveReceiver(t, listSender{})).Sync(t.Context(), comfreyworks.GatewayState{})
	assert.NilError(t, err)
	assert.Equal(t, len(update.Upstreams.Present), 1)
	assert.Equal(t, update.Upstreams.Present[0].ID, comfreyworks.InstanceID("a"))
	assert.DeepEqual(t, update.Upstreams.Undecoded, []comfreyworks.InstanceID{"odd"})
}
