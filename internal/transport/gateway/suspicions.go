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

// maxListedSuspicions limits the list of parts under which engines have crashed.
const maxListedSuspicions = 200

// suspectedPart is an entry of the list of parts under which engines have crashed.
type suspectedPart struct {
	Key     string `json:"key"`
	Crashes uint16 `json:"crashes"`
	// Quarantined means that requests with this part alone are refused.
	Quarantined bool `json:"quarantined"`
	// With lists the parts that were in all crashed requests as well.
	With []string `json:"with,omitempty"`
}

// listSuspicions lists the parts under which engines have crashed, those with the most
// crashes first.
func (g *Gateway) listSuspicions(w http.ResponseWriter, _ *http.Request) {
	suspicions, _ := g.crashes.After(0, crashes.Remote)
	suspicions = slices.DeleteFunc(suspicions, func(s comfreyworks.CrashSuspicion) bool { return s.Crashes == 0 })
	slices.SortFunc(suspicions, func(a, b comfreyworks.CrashSuspicion) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(a.Part, b.Part))
	})
	parts := make([]suspectedPart, 0, min(len(suspicions), maxListedSuspicions))
	for _, s := range suspicions[:cap(parts)] {
		part := suspectedPart{Key: forward.FormatPartKey(s.Part), Crashes: s.Crashes}
		_, part.Quarantined = g.crashes.Blamed([]uint32{s.Part})
		for _, key := range s.With {
			part.With = append(part.With, forward.FormatPartKey(key))
		}
		parts = append(parts, part)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(parts)
}

// liftQuarantine clears a part that the query names by its key, or by its ID and the
// workspace of its callers.
func (g *Gateway) liftQuarantine(w http.ResponseWriter, r *http.Request) {
	key, err := g.queriedPart(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.crashes.Lift(key)
	g.options.Logger.Info("quarantine of a prompt part lifted by an operator", zap.String("key", forward.FormatPartKey(key)))
	w.WriteHeader(http.StatusNoContent)
}

// queriedPart returns the key of the part that the query of a request names.
func (g *Gateway) queriedPart(r *http.Request) (uint32, error) {
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
