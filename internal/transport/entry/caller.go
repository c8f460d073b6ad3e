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

// HeaderClass is the request header that names the traffic class.
const HeaderClass = "Comfrey-Class"

// keyring finds the workspace of a key. It holds only the hashes of the keys.
type keyring struct {
	hashes     [][]byte
	workspaces []settings.Workspace
}

func newKeyring(workspaces []settings.Workspace) *keyring {
	k := &keyring{workspaces: workspaces}
	for _, w := range workspaces {
		hash, err := hex.DecodeString(w.KeyHash)
		if err != nil {
			hash = nil // matches no key
		}
		k.hashes = append(k.hashes, hash)
	}
	return k
}

// find returns the workspace of a key, or nil. It compares the key with the hashes
// of all workspaces, so that the time taken does not depend on which one matches.
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

// caller is the workspace and traffic class of an authenticated request.
type caller struct {
	workspace comfreyworks.Workspace
	class     *settings.Class
}

func (c caller) labels() meter.Labels {
	return meter.Labels{Workspace: c.workspace, Class: c.class.Name}
}

// authenticate passes a request on with its workspace and traffic class, or
// responds with an error if its key or its class is not valid.
func (e *Entry) authenticate(next func(http.ResponseWriter, *http.Request, caller)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok {
			writeError(w, invalidKeyError("expected a header Authorization: Bearer KEY"))
			return
		}
		workspace := e.keys.Load().find(key)
		if workspace == nil {
			writeError(w, invalidKeyError("the key belongs to no workspace"))
			return
		}
		name := comfreyworks.Class(r.Header.Get(HeaderClass))
		if name == "" {
			name = workspace.Classes[0]
		}
		if !slices.Contains(workspace.Classes, name) {
			writeError(w, unknownClassError(name, workspace.Classes))
			return
		}
		// The configuration in force may be newer than the one that the keyring
		// was built from, and may no longer declare the class.
		class := e.deployment().Class(name)
		if class == nil {
			writeError(w, unknownClassError(name, workspace.Classes))
			return
		}
		next(w, r, caller{workspace: workspace.Name, class: class})
	}
}
