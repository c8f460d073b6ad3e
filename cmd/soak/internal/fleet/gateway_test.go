package fleet

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// TestSignalsDuringStart guards against signals that end a process before it handles them,
// which would be taken for a failure of the gateway.
func TestSignalsDuringStart(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "program")
	assert.NilError(t, os.WriteFile(program, []byte("#!/bin/sh\nsleep 0.3\ntrap 'exit 0' TERM\necho started\nwhile :; do sleep 0.02; done\n"), 0o700))
	g := &Gateway{program: program, logPath: filepath.Join(dir, "log"), settingsPath: filepath.Join(dir, "settings")}
	assert.NilError(t, g.Start())
	g.Hangup()
	g.Terminate()
	assert.Equal(t, len(g.Failures()), 0, "%v", g.Failures())
}
