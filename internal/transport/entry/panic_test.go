package entry_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"comfreyworks"
	"comfreyworks/examples"
	"comfreyworks/internal/bench/rig"
	"comfreyworks/internal/standin/engine"
	"comfreyworks/internal/state/settings"
)

// panickingChooser panics whenever it is asked.
type panickingChooser struct{}

// Choose implements comfreyworks.UpstreamChooser.
func (panickingChooser) Choose(comfreyworks.Pool, comfreyworks.GenerateRequest, []comfreyworks.InstanceID) (comfreyworks.InstanceID, bool) {
	panic("broken")
}

// TestPanicIsAnswered guards against closing the connection of a caller without an answer
// because its request panics.
func TestPanicIsAnswered(t *testing.T) {
	deployment, err := settings.ReadDeployment("piedmont.jsonc", examples.Piedmont)
	assert.NilError(t, err)
	deployment.Callers.StopNotice = 0
	r, err := rig.Start(context.Background(), rig.Options{
		Deployment: deployment, Entries: 1, Clock: clockwork.NewRealClock(), Seed: 1,
		Rates:   func(comfreyworks.InstanceID) engine.Rates { return engine.DefaultRates() },
		Chooser: func(*rig.Rig) comfreyworks.UpstreamChooser { return panickingChooser{} },
	})
	assert.NilError(t, err)
	t.Cleanup(r.Stop)
	answer, err := http.DefaultClient.Do(request(t, http.MethodPost, r.EntryURL(0)+"/v1/chat/completions", validBody))
	assert.NilError(t, err, "no answer")
	assert.NilError(t, answer.Body.Close())
	assert.Equal(t, answer.StatusCode, http.StatusBadGateway)
}
