package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"

	"comfreyworks"
	"comfreyworks/internal/state/meter"
	"comfreyworks/internal/state/settings"
)

// HeaderClass names the traffic class of a request.
const HeaderClass = "Comfrey-Class"

// keyring finds the workspace of a key. It holds hashes only.
type keyring struct {
	hashes     [][]byte
	workspaces []settings.Workspace
}

func newKeyring(workspaces []settings.Workspace) *keyring {
	k := &keyring{workspaces: workspaces}
	for _, w := range workspaces {
		hash, err := hex.DecodeString(w.KeyHash)
		if err != nil {
			hash = nil
		}
		k.hashes = append(k.hashes, hash)
	}
	return k
}

// find compares a key with every workspace's hash, in the same time whichever
// one it is.
func (k *keyring) find(key string) *settings.Workspace {
	sum := sha256.Sum256([]byte(key))
	found := -1
	for i, hash := range k.hashes {
		if subtle.ConstantTimeCompare(sum[:], hash) == 1 {
			found = i
		}
	}
	if found < 0 {
		return nil
	}
	return &k.workspaces[found]
}

// caller is who sent a request.
type caller struct {
	workspace comfreyworks.Workspace
	class     *settings.Class
}

func (c caller) labels() meter.Labels {
	return meter.Labels{Workspace: c.workspace, Class: c.class.Name}
}

// withCaller authenticates a request and finds its class.
func (e *Entry) withCaller(next func(http.ResponseWriter, *http.Request, caller)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok {
			writeProblem(w, problemKey("expected a header Authorization: Bearer KEY"))
			return
		}
		workspace := e.keys.Load().find(key)
		if workspace == nil {
			writeProblem(w, problemKey("the key belongs to no workspace"))
			return
		}
		name := comfreyworks.Class(r.Header.Get(HeaderClass))
		if name == "" {
			name = workspace.Classes[0]
		}
		if !slices.Contains(workspace.Classes, name) {
			writeProblem(w, problemClass(name, workspace.Classes))
			return
		}
		// The class may just have been taken out of the configuration.
		class := e.deployment().Class(name)
		if class == nil {
			writeProblem(w, problemClass(name, workspace.Classes))
			return
		}
		next(w, r, caller{workspace: workspace.Name, class: class})
	}
}
