package forward

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"comfreyworks"
)

// sharedSalt is the salt of all workspaces that are not isolated.
const sharedSalt = "shared"

// affinity is the key by which a request's engine is chosen: the last declared
// part, which belongs to the session, behind the wall of the workspace.
func affinity(request *Request) uint64 {
	parts := request.Prompt.Parts
	if len(parts) == 0 {
		return 0
	}
	return max(xxhash.Sum64String(wall(request.Workspace)+"/"+parts[len(parts)-1].ID), 1)
}

// wall names whose cached prefixes a workspace may use.
func wall(workspace *comfreyworks.WorkspaceKeys) string {
	if workspace == nil || !workspace.Isolated {
		return sharedSalt
	}
	return "workspace:" + string(workspace.Name)
}

// salt separates cached prefixes by wall and by weights: a prefix computed
// under other weights must never be found.
func salt(workspace *comfreyworks.WorkspaceKeys, weights comfreyworks.WeightsRevision) string {
	return wall(workspace) + "/" + strconv.FormatUint(uint64(weights), 10)
}
