// Package mutant builds gateways that are broken on purpose, so that a soak can
// show that it notices.
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

// Mutant is one change that breaks a promise.
type Mutant struct {
	Name, File, Old, New string
}

// All are the mutants that a soak has to notice.
var All = []Mutant{
	{
		"repeats what may run only once", "internal/coordination/forward/forward.go",
		"case after == attemptLost && !r.request.Route.Repeatable():", "case after == attemptLost && r.sends > 1:",
	},
	{
		"calls not run what may have run", "internal/coordination/forward/forward.go",
		"case after == attemptNotRun && r.runs == 0:", "case true:",
	},
	{
		"uses keys for ever", "internal/transport/gateway/request.go",
		"return bound > 0 && g.options.Clock.Since(confirmedAt) > bound-keyExpiryMargin", "return bound < 0 && g.options.Clock.Since(confirmedAt) > bound-keyExpiryMargin",
	},
	{
		"passes on answers without proof", "internal/coordination/forward/attempt.go",
		"case !response.HasDigest || a.headerWritten:", "case a.headerWritten:",
	},
	{
		"begins a broken stream again", "internal/coordination/forward/stream.go",
		"a.lastEventID = id", "_ = id",
	},
}

// Build builds the mutant of the gateway in a source tree and returns the path
// of the program, which lies in dir.
func (m *Mutant) Build(ctx context.Context, root, dir string) (string, error) {
	path := filepath.Join(root, m.File)
	source, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	if strings.Count(string(source), m.Old) != 1 {
		return "", fmt.Errorf("%s: %q is not there exactly once", m.File, m.Old)
	}
	changed := filepath.Join(dir, "changed.go")
	if err := os.WriteFile(changed, []byte(strings.Replace(string(source), m.Old, m.New, 1)), 0o600); err != nil {
		return "", err
	}
	overlay, err := json.Marshal(map[string]any{"Replace": map[string]string{path: changed}})
	if err != nil {
		return "", err
	}
	list := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(list, overlay, 0o600); err != nil {
		return "", err
	}
	program := filepath.Join(dir, "gateway")
	build := exec.CommandContext(ctx, "go", "build", "-overlay", list, "-o", program, "./cmd/gateway")
	build.Dir = root
	if output, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %w: %s", err, output)
	}
	return program, nil
}
