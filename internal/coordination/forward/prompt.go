package forward

import (
	"github.com/cespare/xxhash/v2"

	"comfreyworks"
)

// sharedGroup is the group of all workspaces that are not isolated.
const sharedGroup = "shared"

// affinityKey returns the balance.Query.AffinityKey of a request. It is the hash
// of the group of the workspace and the second to last declared part, the deepest one that
// other requests are likely to share. The last part is specific to the request or
// to one conversation, whose next requests find their engine by what it has
// cached. If no part is declared, the key is the hash of the request ID.
//
// The key stays the same when the cache scope of the group changes, and with it the engines
// of the session and what is known of its load.
func affinityKey(request *Request) uint64 {
	parts := request.Prompt.Parts
	if len(parts) == 0 {
		return xxhash.Sum64String(string(request.Message.ID))
	}
	deepest := parts[max(len(parts)-2, 0)]
	return xxhash.Sum64String(workspaceGroup(request.Workspace) + "/" + deepest.ID)
}

// storeKey returns the balance.Query.StoreKey of a request: the affinity key or, for
// an isolated workspace, the hash of its group. All other workspaces together
// soon have the parts that many prompts begin with in every store.
func storeKey(request *Request) uint64 {
	if group := workspaceGroup(request.Workspace); group != sharedGroup {
		return xxhash.Sum64String(group)
	}
	return affinityKey(request)
}

// workspaceGroup names the workspaces whose prompts are likely to have parts in common with
// those of a workspace. Which cached parts may be used follows from the cache scope alone.
func workspaceGroup(workspace *comfreyworks.WorkspaceKeys) string {
	if workspace == nil || !workspace.Isolated {
		return sharedGroup
	}
	return "workspace:" + string(workspace.Name)
}

// cacheScope names the cached parts that the next attempt may use, by the routing that is
// in force now: the request may have been accepted under an earlier one.
func (r *activeRequest) cacheScope() string {
	table, _ := r.options.Catalog.Routing()
	if table == nil {
		return workspaceGroup(r.request.Workspace)
	}
	return table.CacheScope(r.request.Workspace)
}

// declaredTokens returns the length of the declared parts, in tokens.
func (p *Prompt) declaredTokens() int {
	tokens := 0
	for _, part := range p.Parts {
		tokens += part.Tokens
	}
	return tokens
}
