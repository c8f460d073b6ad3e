package routing

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"comfreyworks"
)

// isolating returns a table of the given workspaces in which some are isolated.
func isolating(names []comfreyworks.Workspace, isolated map[comfreyworks.Workspace]bool) *Table {
	var declared comfreyworks.Routing
	for _, name := range names {
		declared.Workspaces = append(declared.Workspaces, comfreyworks.WorkspaceKeys{Name: name, Isolated: isolated[name]})
	}
	return New(declared)
}

func scopeOf(t *Table, name comfreyworks.Workspace) string {
	return t.CacheScope(&t.declared.Workspaces[indexOf(t, name)])
}

func indexOf(t *Table, name comfreyworks.Workspace) int {
	for i := range t.declared.Workspaces {
		if t.declared.Workspaces[i].Name == name {
			return i
		}
	}
	return -1
}

// TestScopeOfIsolated guards against workspaces that use cached parts which an isolated
// workspace made before it was isolated, whatever changes of the declarations came before.
func TestScopeOfIsolated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []comfreyworks.Workspace{"a", "b", "ab", "a,b", ""}
		isolated := make(map[comfreyworks.Workspace]bool)
		makers := make(map[string]map[comfreyworks.Workspace]bool)
		for range 30 {
			flipped := rapid.SampledFrom(names).Draw(t, "flipped")
			isolated[flipped] = !isolated[flipped]
			present := rapid.Permutation(names).Draw(t, "order")[:rapid.IntRange(1, len(names)).Draw(t, "present")]
			table := isolating(present, isolated)
			for _, user := range present {
				scope := scopeOf(table, user)
				for maker := range makers[scope] {
					if maker != user && (isolated[user] || (isolated[maker] && indexOf(table, maker) >= 0)) {
						t.Fatalf("%q uses parts of %q in scope %q, isolated: %v", user, maker, scope, isolated)
					}
				}
				if makers[scope] == nil {
					makers[scope] = make(map[comfreyworks.Workspace]bool)
				}
				makers[scope][user] = true
			}
		}
	})
}

func TestCacheScope(t *testing.T) {
	names := []comfreyworks.Workspace{"office", "crew", "lab"}
	none := isolating(names, nil)
	lab := isolating(names, map[comfreyworks.Workspace]bool{"lab": true})
	t.Run("workspaces that are not isolated share a scope", func(t *testing.T) {
		assert.Equal(t, scopeOf(none, "office"), scopeOf(none, "lab"))
		assert.Equal(t, scopeOf(lab, "office"), scopeOf(lab, "crew"))
	})
	t.Run("so do requests without a workspace", func(t *testing.T) {
		assert.Equal(t, lab.CacheScope(nil), scopeOf(lab, "office"))
	})
	t.Run("it does not depend on the other workspaces or their order", func(t *testing.T) {
		again := isolating([]comfreyworks.Workspace{"lab", "new", "office"}, map[comfreyworks.Workspace]bool{"lab": true})
		assert.Equal(t, scopeOf(again, "office"), scopeOf(lab, "office"))
	})
	t.Run("a request that was accepted before its workspace was isolated is isolated", func(t *testing.T) {
		accepted := &none.declared.Workspaces[indexOf(none, "lab")]
		assert.Equal(t, lab.CacheScope(accepted), scopeOf(lab, "lab"))
		assert.Assert(t, lab.CacheScope(accepted) != scopeOf(lab, "office"))
	})
	t.Run("so is one that was accepted while it was", func(t *testing.T) {
		accepted := &lab.declared.Workspaces[indexOf(lab, "lab")]
		assert.Equal(t, none.CacheScope(accepted), fmt.Sprint("workspace:", accepted.Name))
	})
}
