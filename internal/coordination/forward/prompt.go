package forward

import (
	"github.com/cespare/xxhash/v2"

	"comfreyworks"
)

// sharedWall is the wall of all workspaces that are not isolated.
const sharedWall = "shared"

// affinity is the key by which engines are ranked: the last declared part,
// which belongs to the session, behind the wall of the workspace.
func affinity(request *Request) uint64 {
	parts := request.Prompt.Parts
	if len(parts) == 0 {
		return xxhash.Sum64String(string(request.Message.ID))
	}
	return xxhash.Sum64String(wall(request.Workspace) + "/" + parts[len(parts)-1].ID)
}

// wall names whose cached parts a workspace may use.
func wall(workspace *comfreyworks.WorkspaceKeys) string {
	if workspace == nil || !workspace.Isolated {
		return sharedWall
	}
	return "workspace:" + string(workspace.Name)
}
