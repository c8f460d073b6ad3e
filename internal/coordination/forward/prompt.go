package forward

import (
	"github.com/cespare/xxhash/v2"

	"comfreyworks"
)

// sharedWall is the wall of all workspaces that are not isolated.
const sharedWall = "shared"

// affinity is the key by which engines that hold nothing of a prompt are
// ranked: the deepest declared part that other requests are likely to share,
// behind the wall of the workspace. The last part is the request's own, or its
// session's; a session that goes on finds its engine by what the engine holds.
func affinity(request *Request) uint64 {
	parts := request.Prompt.Parts
	if len(parts) == 0 {
		return xxhash.Sum64String(string(request.Message.ID))
	}
	deepest := parts[max(len(parts)-2, 0)]
	return xxhash.Sum64String(wall(request.Workspace) + "/" + deepest.ID)
}

// wall names whose cached parts a workspace may use.
func wall(workspace *comfreyworks.WorkspaceKeys) string {
	if workspace == nil || !workspace.Isolated {
		return sharedWall
	}
	return "workspace:" + string(workspace.Name)
}

// shared returns the length of the declared parts in tokens.
func (p *Prompt) shared() int {
	tokens := 0
	for _, part := range p.Parts {
		tokens += part.Tokens
	}
	return tokens
}
