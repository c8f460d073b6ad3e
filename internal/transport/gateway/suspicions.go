package gateway

import (
	"cmp"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"

	"go.uber.org/zap"

	"comfreyworks"
	"comfreyworks/internal/coordination/forward"
	"comfreyworks/internal/state/crashes"
)

// maxListedSuspicions limits the list of what upstreams have crashed under.
const maxListedSuspicions = 200

// listedSuspicion is an entry of the list of what upstreams have crashed under.
type listedSuspicion struct {
	Key     string `json:"key"`
	Kind    string `json:"kind"`
	Crashes uint16 `json:"crashes"`
	// Quarantined means that requests with this suspect alone are refused.
	Quarantined bool `json:"quarantined"`
	// With lists the suspects that were in all crashed requests as well.
	With []string `json:"with,omitempty"`
	// Ends lists the ends that it is blamed for, as in the lines "attempt finished".
	Ends []string `json:"ends,omitempty"`
}

// listSuspicions lists what upstreams have crashed under, most crashes first.
func (g *Gateway) listSuspicions(w http.ResponseWriter, _ *http.Request) {
	suspicions, _ := g.crashes.After(0, crashes.Remote)
	suspicions = slices.DeleteFunc(suspicions, func(s comfreyworks.CrashSuspicion) bool { return s.Crashes == 0 })
	slices.SortFunc(suspicions, func(a, b comfreyworks.CrashSuspicion) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(a.Part, b.Part))
	})
	listed := make([]listedSuspicion, 0, min(len(suspicions), maxListedSuspicions))
	for _, s := range suspicions[:cap(listed)] {
		entry := listedSuspicion{Key: forward.FormatSuspectKey(s.Part), Kind: string(crashes.KindOf(s.Part)), Crashes: s.Crashes}
		_, entry.Quarantined = g.crashes.Blamed([]uint32{s.Part})
		for _, key := range s.With {
			entry.With = append(entry.With, forward.FormatSuspectKey(key))
		}
		if len(s.Ended) > 0 {
			entry.Ends = forward.FormatEnds(s.Ended)
		}
		listed = append(listed, entry)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(listed)
}

// liftQuarantine clears a suspect that the query names by its key, or if it is a part of
// prompts by its ID and the workspace of its callers.
func (g *Gateway) liftQuarantine(w http.ResponseWriter, r *http.Request) {
	key, err := g.queriedSuspect(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.crashes.Lift(key)
	g.options.Logger.Info("quarantine lifted by an operator", zap.String("key", forward.FormatSuspectKey(key)))
	w.WriteHeader(http.StatusNoContent)
}

// queriedSuspect returns the key of the suspect that the query of a request names.
func (g *Gateway) queriedSuspect(r *http.Request) (uint32, error) {
	query := r.URL.Query()
	if text := query.Get("key"); text != "" {
		key, err := strconv.ParseUint(text, 16, 32)
		return uint32(key), err
	}
	id, name := query.Get("part"), comfreyworks.Workspace(query.Get("workspace"))
	if id == "" {
		return 0, errors.New("neither a key nor a part")
	}
	if name == "" {
		return forward.PartKey(nil, id), nil
	}
	table, _ := g.catalog.Routing()
	if table == nil {
		return 0, errors.New("no routing yet")
	}
	workspaces := table.Declared().Workspaces
	i := slices.IndexFunc(workspaces, func(w comfreyworks.WorkspaceKeys) bool { return w.Name == name })
	if i < 0 {
		return 0, errors.New("no such workspace")
	}
	return forward.PartKey(&workspaces[i], id), nil
}
