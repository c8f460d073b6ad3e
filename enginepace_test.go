package comfreyworks

import (
	"bytes"
	"encoding/gob"
	"testing"

	"gotest.tools/v3/assert"
)

// TestEnginePaces guards against reports that a peer cannot read, or whose size is more
// than a few bytes for each engine.
func TestEnginePaces(t *testing.T) {
	var wire bytes.Buffer
	sent := EnginePaces{{Engine: 7, Decode: -20, Prefill: 19, DecodeWeight: 16, PrefillWeight: 255}, {Engine: 1 << 31}}
	encoded, err := sent.GobEncode()
	assert.NilError(t, err)
	assert.Equal(t, len(encoded), 2*enginePaceBytes)
	assert.NilError(t, gob.NewEncoder(&wire).Encode(GatewayState{Paces: sent}))
	var got GatewayState
	assert.NilError(t, gob.NewDecoder(&wire).Decode(&got))
	assert.DeepEqual(t, got.Paces, sent)
	assert.ErrorContains(t, got.Paces.GobDecode(encoded[:9]), "cut off")
}
