package control

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"comfreyworks/internal/transport/program"
	"comfreyworks/platform"
)

func TestExitCodesAndOutput(t *testing.T) {
	invalid := filepath.Join(t.TempDir(), "bad.jsonc")
	assert.NilError(t, os.WriteFile(invalid, []byte("{\n  \"colour\": 1\n}"), 0o600))
	hostName := filepath.Join(t.TempDir(), "host.jsonc")
	assert.NilError(t, os.WriteFile(hostName, []byte(`{"platform": "log.example:1", "peer-secret": "0123456789abcdef"}`), 0o600))
	const valid = "../../../examples/piedmont.jsonc"
	source, err := os.ReadFile(valid)
	assert.NilError(t, err)
	doubtful := filepath.Join(t.TempDir(), "doubtful.jsonc")
	assert.NilError(t, os.WriteFile(doubtful, bytes.Replace(source, []byte(`"directory-shards": 2`), []byte(`"directory-shards": 20`), 1), 0o600))
	routes := filepath.Join(t.TempDir(), "routes.json")
	assert.NilError(t, os.WriteFile(routes, []byte(`{"version": 1, "routes": [{"name": "r", "hostname": "h", "kind": "idempotent", "service": "s"}], "services": [{"name": "s"}]}`), 0o600))
	tests := []struct {
		name     string
		args     []string
		code     program.ExitCode
		expected string
	}{
		{"help", []string{"--help"}, program.ExitOK, "validate"},
		{"version", []string{"--version"}, program.ExitOK, program.Version},
		{"valid file", []string{"validate", valid}, program.ExitOK, "settings are good"},
		{"invalid file", []string{"validate", invalid, valid}, program.ExitSettings, invalid + ":2: colour: unknown field"},
		{"warning", []string{"validate", doubtful}, program.ExitOK, "warning: " + doubtful + ":"},
		{"warning, strict", []string{"validate", "--strict", doubtful}, program.ExitSettings, "pools[0].directory-shards: found 20"},
		{"gateways", []string{"validate", "--gateways", routes}, program.ExitOK, "warning: " + routes + ":1: routes[0].timeout_ms"},
		{"gateways, deployment file", []string{"validate", "--gateways", valid}, program.ExitSettings, valid + ":1: invalid character"},
		{"gateways, settings file", []string{"validate", "--gateways", routes, "--gateway-settings", invalid}, program.ExitFailure, invalid},
		{"gateways, in force", []string{"validate", "--gateways", "--in-force", routes}, program.ExitFailure, "cannot be combined"},
		{"no file argument", []string{"validate"}, program.ExitUsage, "FILE"},
		{"file does not exist", []string{"validate", "none.jsonc"}, program.ExitSettings, "none.jsonc"},
		{"unknown command", []string{"fly"}, program.ExitUsage, "fly"},
		{"valid settings", []string{"--check-config", "--config", "../../../examples/operator.jsonc"}, program.ExitOK, "settings are good"},
		{"invalid settings", []string{"--check-config", "--config", invalid}, program.ExitSettings, "colour: unknown field"},
		{"host name in settings", []string{"status", "--config", hostName}, program.ExitSettings, "host names are not resolved"},
		{"no arguments", nil, program.ExitUsage, "validate"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var out bytes.Buffer
			assert.Equal(t, Main(test.args, &out, &out, platform.CheckConfig), test.code)
			assert.Assert(t, strings.Contains(out.String(), test.expected), out.String())
		})
	}
}
