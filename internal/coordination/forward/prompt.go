package forward

import (
	"github.com/cespare/xxhash/v2"

	"comfreyworks"
)

// sharedCacheScope is the cache scope of all workspaces that are not isolated.
const sharedCacheScope = "shared"

// affinityKey returns the balance.Query.AffinityKey of a request. It is the hash
// of the cache scope and the second to last declared part, the deepest one that
// other requests are likely to share. The last part is specific to the request or
// to one conversation, whose next requests find their engine by what it has
// cached. If no part is declared, the key is the hash of the request ID.
func affinityKey(request *Request) uint64 {
	parts := request.Prompt.Parts
	if len(parts) == 0 {
		return xxhash.Sum64String(string(request.Message.ID))
	}
	deepest := parts[max(len(parts)-2, 0)]
	return xxhash.Sum64String(cacheScope(request.Workspace) + "/" + deepest.ID)
}

// storeKey returns the balance.Query.StoreKey of a request: the affinity key or, for
// an isolated workspace, the hash of its cache scope. All other workspaces together
// soon have the parts that many prompts begin with in every store.
func storeKey(request *Request) uint64 {
	if scope := cacheScope(request.Workspace); scope != sharedCacheScope {
		return xxhash.Sum64String(scope)
	}
	return affinityKey(request)
}

// cacheScope names the group of workspaces whose cached parts a workspace may
// use.
func cacheScope(workspace *comfreyworks.WorkspaceKeys) string {
	if workspace == nil || !workspace.Isolated {
		return sharedCacheScope
	}
	return "workspace:" + string(workspace.Name)
}

// declaredTokens returns the length of the declared parts, in tokens.
func (p *Prompt) declaredTokens() int {
	tokens := 0
	for _, part := range p.Parts {
		tokens += part.Tokens
	}
	return tokens
}
