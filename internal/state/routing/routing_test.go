package routing

import (
	"testing"

	"gotest.tools/v3/assert"

	"comfreyworks"
)

func table() *Table {
	return New(comfreyworks.Routing{
		Version: 3,
		Routes: []comfreyworks.Route{
			{Name: "all", Host: "api.example", PathPrefix: "/"},
			{Name: "orders", Host: "api.example", PathPrefix: "/orders/"},
			{Name: "new", Host: "API.example", PathPrefix: "/orders/new/"},
			{Name: "other", Host: "maps.example", PathPrefix: "/maps/"},
		},
		Workspaces: []comfreyworks.WorkspaceKeys{
			{Name: "office", Keys: []string{"k1", "k2"}},
			{Name: "crew", Keys: []string{"k3"}},
		},
	})
}

func TestAttempts(t *testing.T) {
	declared := comfreyworks.Routing{Routes: []comfreyworks.Route{
		{Host: "a", PathPrefix: "/none/"}, {Host: "a", PathPrefix: "/two/", MaxAttempts: 2},
	}}
	assert.Equal(t, New(declared).Route("a", "/none/").MaxAttempts, 1)
	assert.Equal(t, New(declared).Route("a", "/two/").MaxAttempts, 2)
}

func TestRoute(t *testing.T) {
	cases := map[string]struct{ host, path, want string }{
		"longest prefix":                 {"api.example", "/orders/new/7", "new"},
		"shorter prefix":                 {"api.example", "/orders/7", "orders"},
		"prefix within a segment":        {"api.example", "/ordersnew", "all"},
		"host with port":                 {"api.example:8080", "/orders/7", "orders"},
		"host in upper case":             {"Api.Example", "/orders/7", "orders"},
		"prefix of another host":         {"maps.example", "/orders/7", ""},
		"unknown host":                   {"none.example", "/orders/7", ""},
		"prefix without its final slash": {"maps.example", "/maps", ""},
		"the prefix itself":              {"maps.example", "/maps/", "other"},
		"escaped slash in the path":      {"maps.example", "/maps/a%2Fb", "other"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := ""
			if route := table().Route(c.host, c.path); route != nil {
				got = route.Name
			}
			assert.Equal(t, got, c.want)
		})
	}
}

func TestWorkspace(t *testing.T) {
	cases := map[string]struct {
		key  string
		want comfreyworks.Workspace
	}{
		"first key":                {"k1", "office"},
		"second key":               {"k2", "office"},
		"key of another workspace": {"k3", "crew"},
		"unknown key":              {"k4", ""},
		"empty key":                {"", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var got comfreyworks.Workspace
			if workspace := table().Workspace(c.key); workspace != nil {
				got = workspace.Name
			}
			assert.Equal(t, got, c.want)
		})
	}
}

func TestChoosePool(t *testing.T) {
	route := &comfreyworks.Route{Pools: []comfreyworks.PoolWeight{{Pool: "a", Weight: 90}, {Pool: "off", Weight: 0}, {Pool: "b", Weight: 10}}}
	cases := map[string]struct {
		draw float64
		want comfreyworks.Pool
	}{
		"start":                      {0, "a"},
		"just below the first share": {0.899, "a"},
		"start of the next share":    {0.9, "b"},
		"end":                        {0.999, "b"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, ChoosePool(route, c.draw), c.want) })
	}
	t.Run("all weights are zero", func(t *testing.T) {
		assert.Equal(t, ChoosePool(&comfreyworks.Route{Pools: []comfreyworks.PoolWeight{{Pool: "a"}}}, 0.5), comfreyworks.Pool("a"))
	})
	t.Run("no pools", func(t *testing.T) { assert.Equal(t, ChoosePool(&comfreyworks.Route{}, 0.5), comfreyworks.Pool("")) })
}
