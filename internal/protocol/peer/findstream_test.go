package peer

import (
	"bytes"
	"encoding/gob"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"comfreyworks"
)

// originReceiver knows the stream 1, begun by the release 7.
type originReceiver struct{}

func (originReceiver) FindStream(args FindStreamArgs, reply *FindStreamReply) error {
	if args.Stream == 1 {
		*reply = FindStreamReply{Release: 7, Found: true}
	}
	return nil
}

func TestFindStream(t *testing.T) {
	clients := NewClients(ClientOptions{Secret: secret, Clock: clockwork.NewRealClock()})
	defer clients.Close()
	t.Run("known and unknown", func(t *testing.T) {
		client := clients.To(serveReceiver(t, originReceiver{}))
		release, found, err := client.FindStream(t.Context(), 1)
		assert.NilError(t, err)
		assert.Assert(t, found && release == 7)
		release, found, err = client.FindStream(t.Context(), 2)
		assert.NilError(t, err)
		assert.Assert(t, !found && release == 0)
	})
	t.Run("a peer without the method answers with an error and remains connected", func(t *testing.T) {
		address, _ := serve(t)
		client := clients.To(address)
		_, err := read(client, "s1")
		assert.NilError(t, err)
		conn := client.conn
		_, found, err := client.FindStream(t.Context(), 1)
		assertErrorKind(t, err, KindRemote)
		assert.Assert(t, !found)
		_, err = read(client, "s1")
		assert.NilError(t, err)
		assert.Equal(t, client.conn, conn)
	})
}

// stateWithoutOrigins is the GatewayState of releases that do not know the origins
// of streams.
type stateWithoutOrigins struct {
	Self                  comfreyworks.GatewayPeer
	Role                  comfreyworks.PeerRole
	Peers                 []comfreyworks.GatewayPeer
	PeerList, Known       comfreyworks.ListVersion
	Saved                 []uint32
	SavedList, SavedKnown comfreyworks.ListVersion
	Loads                 []comfreyworks.UpstreamLoad
	Declared, Listed      comfreyworks.Position
	WantsState            bool
}

// transfer encodes a value and decodes it into another type.
func transfer(t *testing.T, from, to any) {
	t.Helper()
	var wire bytes.Buffer
	assert.NilError(t, gob.NewEncoder(&wire).Encode(from))
	assert.NilError(t, gob.NewDecoder(&wire).Decode(to))
}

func TestStateWithoutOrigins(t *testing.T) {
	list := comfreyworks.ListVersion{Process: 3, Version: 4}
	old := stateWithoutOrigins{Role: comfreyworks.PeerLeaf, Saved: []uint32{1, 2}, SavedList: list, Listed: 9, WantsState: true}
	current := comfreyworks.GatewayState{Role: comfreyworks.PeerLeaf, Saved: []uint32{1, 2}, SavedList: list, Listed: 9, WantsState: true}
	t.Run("is understood", func(t *testing.T) {
		var got comfreyworks.GatewayState
		transfer(t, old, &got)
		assert.DeepEqual(t, got, current, cmpopts.EquateComparable(netip.AddrPort{}))
	})
	t.Run("is what an earlier release understands", func(t *testing.T) {
		sent := current
		sent.Origins = []comfreyworks.StreamOrigin{{Stream: 1, Release: 2}}
		sent.OriginsList, sent.OriginsKnown = list, list
		var got stateWithoutOrigins
		transfer(t, sent, &got)
		assert.DeepEqual(t, got, old, cmpopts.EquateComparable(netip.AddrPort{}))
	})
}
