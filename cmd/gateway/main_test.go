package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"comfreyworks/platform"
)

// asGateway is the environment variable that makes the test binary run as the gateway.
const asGateway = "TEST_AS_GATEWAY"

func TestMain(m *testing.M) {
	if os.Getenv(asGateway) != "" {
		main()
	}
	os.Exit(m.Run())
}

// TestHangupDuringStart guards against a SIGHUP that ends a gateway which has not read
// its settings yet.
func TestHangupDuringStart(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "settings")
	assert.NilError(t, syscall.Mkfifo(settings, 0o600))
	gateway := exec.CommandContext(t.Context(), os.Args[0])
	gateway.Env = append(os.Environ(), asGateway+"=1", platform.SettingsVariable+"="+settings)
	assert.NilError(t, gateway.Start())
	// Waits until the gateway opens its settings.
	file, err := os.OpenFile(settings, os.O_WRONLY, 0)
	assert.NilError(t, err)
	assert.NilError(t, gateway.Process.Signal(syscall.SIGHUP))
	// Fails if the signal has ended the process.
	_, _ = file.WriteString("not settings")
	assert.NilError(t, file.Close())
	var exit *exec.ExitError
	assert.Assert(t, errors.As(gateway.Wait(), &exit))
	assert.Assert(t, exit.Exited(), "%s", exit)
}
