package control_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"comfreyworks/examples"
	"comfreyworks/internal/bench/rig"
	"comfreyworks/internal/state/settings"
	"comfreyworks/internal/transport/control"
	"comfreyworks/internal/transport/program"
)

// fixture is a small running deployment with an operator settings file for it.
type fixture struct {
	rig *rig.Rig
	dir string
	// config is the path of the operator settings file.
	config string
}

func newFixture(t *testing.T) fixture {
	t.Helper()
	deployment, err := settings.ReadDeployment("piedmont.jsonc", examples.Piedmont)
	assert.NilError(t, err)
	for i := range deployment.Pools {
		deployment.Pools[i].Replicas = 2
	}
	r, err := rig.Start(context.Background(), rig.Options{
		Deployment: deployment, Entries: 2, Clock: clockwork.NewRealClock(), Seed: 1,
	})
	assert.NilError(t, err)
	t.Cleanup(r.Stop)
	f := fixture{rig: r, dir: t.TempDir()}
	f.config = f.write(t, "operator.jsonc", fmt.Sprintf(`{"platform": %q, "peer-secret": %q}`, r.PlatformAddress(), r.PeerSecret()))
	return f
}

func (f fixture) write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(f.dir, name)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// writeDeployment writes the example deployment with another deadline and without
// workspace albany, and returns its path.
func (f fixture) writeDeployment(t *testing.T, deadline string) string {
	t.Helper()
	text := strings.Replace(string(examples.Piedmont), `"deadline": "60s"`, `"deadline": "`+deadline+`"`, 1)
	text = strings.Replace(text, `{"name": "albany"`, `// {"name": "albany"`, 1)
	return f.write(t, "piedmont-"+deadline+".jsonc", text)
}

// expect runs a command and checks its exit code and a part of its output.
func (f fixture) expect(t *testing.T, code program.ExitCode, part string, args ...string) {
	t.Helper()
	args = append(args, "--config", f.config)
	var out bytes.Buffer
	assert.Equal(t, control.Main(args, &out, &out, nil), code, out.String())
	assert.Assert(t, strings.Contains(out.String(), part), out.String())
}

func (f fixture) modelsStatus(t *testing.T, entry int, key string) int {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, f.rig.EntryURL(entry)+"/v1/models", nil)
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return resp.StatusCode
}

func TestConfigure(t *testing.T) {
	f := newFixture(t)
	assert.Equal(t, f.modelsStatus(t, 0, "key-albany"), http.StatusOK)
	t.Run("apply with wait puts the change in force on every instance", func(t *testing.T) {
		f.expect(t, program.ExitOK, "in force on 6 of 6 instances", "apply", f.writeDeployment(t, "50s"), "--author", "ann", "--wait")
		for entry := range 2 {
			assert.Equal(t, f.modelsStatus(t, entry, "key-albany"), http.StatusUnauthorized)
			assert.Equal(t, f.modelsStatus(t, entry, "key-office"), http.StatusOK)
		}
		f.expect(t, program.ExitOK, "lm-pool/1", "status")
	})
	t.Run("diff shows the change", func(t *testing.T) {
		f.expect(t, program.ExitOK, `"40s"`, "diff", f.writeDeployment(t, "40s"))
		f.expect(t, program.ExitOK, "no difference", "diff", f.writeDeployment(t, "50s"))
	})
	t.Run("validate shows it with the mistakes", func(t *testing.T) {
		f.expect(t, program.ExitOK, `"40s"`, "validate", "--in-force", f.writeDeployment(t, "40s"))
		f.expect(t, program.ExitSettings, `found "soon"`, "validate", "--in-force", f.writeDeployment(t, "soon"))
	})
	t.Run("a file with warnings is not applied with --strict", func(t *testing.T) {
		text := strings.Replace(string(examples.Piedmont), `"queue-bound": 256`, `"queue-bound": 0`, 1)
		file := f.write(t, "doubtful.jsonc", text)
		f.expect(t, program.ExitSettings, "classes[1].queue-bound: found 0", "apply", file, "--author", "ann", "--strict")
		f.expect(t, program.ExitOK, "no difference", "diff", f.writeDeployment(t, "50s"))
	})
	t.Run("a base that is no longer current is a conflict that names the other author", func(t *testing.T) {
		f.expect(t, control.ExitConflict, "revision 1 by ann", "apply", f.writeDeployment(t, "30s"), "--author", "bob", "--base", "0")
	})
	t.Run("an invalid file is not applied", func(t *testing.T) {
		f.expect(t, program.ExitSettings, `found "soon"`, "apply", f.writeDeployment(t, "soon"), "--author", "bob")
		f.expect(t, program.ExitOK, "no difference", "diff", f.writeDeployment(t, "50s"))
	})
	t.Run("a change of weights is rejected without --weights-loaded", func(t *testing.T) {
		text := strings.Replace(string(examples.Piedmont), `"2026-10"`, `"2026-12"`, 1)
		file := f.write(t, "weights.jsonc", text)
		f.expect(t, program.ExitFailure, "weights of [oak-12b] would change", "apply", file, "--author", "bob")
	})
	t.Run("after a lost response to the append the result is read from the log", func(t *testing.T) {
		f.rig.Log().LoseAnswers(1)
		f.expect(t, program.ExitOK, "revision 2 accepted", "apply", f.writeDeployment(t, "20s"), "--author", "ann", "--wait")
	})
	t.Run("rollback is a new revision", func(t *testing.T) {
		f.expect(t, program.ExitOK, "revision 3 accepted", "rollback", "1", "--author", "ann", "--wait")
		f.expect(t, program.ExitOK, "back to revision 1", "history")
	})
	t.Run("a replaced entry learns the newest revision while the log is down", func(t *testing.T) {
		f.rig.Log().SetOutage(true)
		defer f.rig.Log().SetOutage(false)
		assert.NilError(t, f.rig.RestartEntries("entry/0"))
		for f.modelsStatus(t, 0, "key-office") != http.StatusOK {
			time.Sleep(time.Millisecond)
		}
		assert.Equal(t, f.modelsStatus(t, 0, "key-albany"), http.StatusUnauthorized)
		f.expect(t, program.ExitFailure, "read the log", "history")
	})
}
