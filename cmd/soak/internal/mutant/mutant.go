// Package mutant builds gateways with deliberate bugs, which test whether a soak
// detects them.
//
// # Usage
//
//	program, err := mutant.All[0].Build(ctx, root, dir)
package mutant

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Mutant is a change of the gateway's source that breaks one of its guarantees. It
// replaces the text Old, which occurs once in File, by New. Name completes "a
// gateway that".
type Mutant struct {
	Name, File, Old, New string
}

// All lists the mutants that a soak has to detect.
var All = []Mutant{
	{
		"retries requests that may run only once", "internal/coordination/forward/retry.go",
		"case after == attemptLost && !r.request.Route.Repeatable():", "case after == attemptLost && r.sends > 1:",
	},
	{
		"reports requests that may have run as not run", "internal/coordination/forward/retry.go",
		"case (after == attemptNotRun || after == attemptNotSent) && len(r.runs) == 0:", "case true:",
	},
	{
		"accepts keys that were not confirmed in time", "internal/transport/gateway/request.go",
		"return bound > 0 && g.options.Clock.Since(confirmedAt) > bound-keyExpiryMargin", "return bound < 0 && g.options.Clock.Since(confirmedAt) > bound-keyExpiryMargin",
	},
	{
		"forwards responses without a digest", "internal/coordination/forward/attempt.go",
		"if !response.HasDigest || a.headerWritten {", "if a.headerWritten {",
	},
	{
		"restarts broken streams from the first event", "internal/coordination/forward/takeover.go",
		"a.lastEventID = id", "a.lastEventID = \"0\"",
	},
	{
		"sends requests to upstreams that say that they are leaving", "internal/coordination/balance/leaving.go",
		"return ok && known.started.Equal(upstream.Started)", "return ok && known.started.After(upstream.Started)",
	},
	{
		"sends requests to upstreams that want none for some time", "internal/coordination/balance/closed.go",
		"return now.Before(c.until)", "return now.IsZero()",
	},
	{
		"ignores the releases of streams", "internal/coordination/balance/query.go",
		"(q.Release == 0 || q.Release == streamorigins.Release(upstream.Pool, upstream.Release))",
		"(q.Release == 0 || streamorigins.Release(upstream.Pool, upstream.Release) != 0)",
	},
	{
		"does not pass on the origins of streams", "internal/transport/gateway/origins.go",
		"if g.catalog.NeedsOrigins(split.Pool) {", "if g.catalog.NeedsOrigins(split.Pool) && table == nil {",
	},
	{
		"ends silent answers", "internal/coordination/forward/takeover.go",
		"pick, obstacle := t.pick(pause)", "pick, obstacle := t.pick(pause)\n\tif pick == nil {\n\t\tt.silent.cancel(errUpstreamSilent)\n\t}",
	},
	{
		"drops requests when the configuration changes", "internal/transport/gateway/serve.go",
		"outcome := g.forward(r, request, s)",
		"before, _ := g.catalog.Routing()\n" +
			"\t\tdefer func() {\n\t\t\tif after, _ := g.catalog.Routing(); after != before {\n\t\t\t\tabort(w, r)\n\t\t\t}\n\t\t}()\n" +
			"\t\toutcome := g.forward(r, request, s)",
	},
	{
		"believes refusals without the ID of a request", "internal/protocol/exchange/exchange.go",
		"case reused:", "case false:",
	},
	{
		"takes a reset for the end of an answer", "internal/coordination/forward/attempt.go",
		"complete := errors.Is(err, io.EOF)", "complete := isBrokenConnection(err) && !errors.Is(err, io.ErrUnexpectedEOF)",
	},
	{
		"passes on any status", "internal/protocol/httpclient/httpclient.go",
		"return code >= http.StatusOK && code <= 599", "return code >= 0",
	},
	{
		"passes on answers with malformed field names", "internal/protocol/httpclient/httpclient.go",
		"if !httpguts.ValidHeaderFieldName(name) {", "if name == \"\" && !httpguts.ValidHeaderFieldName(name) {",
	},
	{
		"sends prompts that crash engines", "internal/state/crashes/crashes.go",
		"if l.isBlamed(candidate, known) && !l.tests(known, age, candidate, keys) {", "if l.tests(known, age, candidate, keys) && !l.tests(known, age, candidate, keys) {",
	},
	{
		"blames all parts of prompts at the first crash", "internal/state/crashes/crashes.go",
		"if l.isBlamed(candidate, known) && !l.tests(known, age, candidate, keys) {", "if known.crashes > 0 && age >= 0 {",
	},
	{
		"sends requests that crash replicas", "internal/coordination/forward/quarantine.go",
		"keys := []uint32{key}", "keys := []uint32{key}[:0]",
	},
	{
		"trusts the only listed release", "internal/state/catalog/knownreleases.go",
		"return now.Sub(c.knownSince) >= releaseMemory", "return !now.Before(c.knownSince)",
	},
	{
		"shares cached parts of workspaces that are isolated later", "internal/state/routing/routing.go",
		"t.sharedScope = sharedScopeWithout(t.isolated)", "t.sharedScope = sharedScopeWithout(nil)",
	},
	{
		"loses what left between gateways", "internal/state/catalog/changes.go",
		"if restored || !c.known.includes(after) {", "if restored || after == 0 {",
	},
	{
		"asks for no keys once the last workspace is removed", "internal/state/routing/routing.go",
		"return t.declared.KeysRequired || len(t.declared.Workspaces) > 0", "return len(t.declared.Workspaces) > 0",
	},
	{
		"forgets crashes once all gateways have ended", "internal/coordination/crashrecord/crashrecord.go",
		"r.options.Log.Restore(record)", "_ = record",
	},
	{
		"holds any number of bodies and headers", "internal/state/memory/process.go",
		"\tif limit <= 0 {\n\t\treturn nil", "\tif limit >= 0 {\n\t\treturn nil",
	},
}

// Calm lists the mutants that a soak without faults has to detect.
var Calm = []Mutant{
	{
		"gives silent upstreams up before another one has answered", "internal/coordination/forward/keep.go",
		"if t.abandoned || t.lost || pause >= maxPause {", "if t.abandoned || t.lost || pause >= 0 {",
	},
}

// Build builds the mutant from the source tree at root and returns the path of the
// binary in dir. The source tree is not modified.
func (m *Mutant) Build(ctx context.Context, root, dir string) (string, error) {
	sourcePath := filepath.Join(root, m.File)
	source, err := os.ReadFile(sourcePath)
	if err != nil {
		return "", err
	}
	if strings.Count(string(source), m.Old) != 1 {
		return "", fmt.Errorf("%s: expected exactly one occurrence of %q", m.File, m.Old)
	}
	mutatedPath := filepath.Join(dir, "changed.go")
	if err := os.WriteFile(mutatedPath, []byte(strings.Replace(string(source), m.Old, m.New, 1)), 0o600); err != nil {
		return "", err
	}
	overlay, err := json.Marshal(map[string]any{"Replace": map[string]string{sourcePath: mutatedPath}})
	if err != nil {
		return "", err
	}
	overlayPath := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(overlayPath, overlay, 0o600); err != nil {
		return "", err
	}
	program := filepath.Join(dir, "gateway")
	build := exec.CommandContext(ctx, "go", "build", "-overlay", overlayPath, "-o", program, "./cmd/gateway")
	build.Dir = root
	if output, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build mutant: %w: %s", err, output)
	}
	return program, nil
}
