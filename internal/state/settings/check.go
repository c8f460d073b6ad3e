package settings

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"comfreyworks"
)

// minSecretBytes is the shortest peer secret that is accepted, in bytes.
const minSecretBytes = 16

// sha256HexLength is the length of a SHA-256 hash in hexadecimal digits.
const sha256HexLength = 64

var kebabCase = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// instanceName is kebab case in parts that slashes separate. Identifiers of
// events carry the name between dots, so it must not have any.
var instanceName = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*(/[a-z0-9]+(-[a-z0-9]+)*)*$`)

// ReadDeployment reads and checks a deployment file. The error is a Problems
// value.
func ReadDeployment(file string, source []byte) (*Deployment, error) {
	deployment := new(Deployment)
	d := decode(file, source, deployment)
	if len(d.lines) > 0 {
		checkDeployment(d, deployment)
	}
	if len(d.problems) > 0 {
		return nil, d.sorted()
	}
	return deployment, nil
}

// ReadInstance reads and checks an instance file. The error is a Problems
// value.
func ReadInstance(file string, source []byte) (*Instance, error) {
	instance := new(Instance)
	d := decode(file, source, instance)
	if len(d.lines) > 0 {
		checkInstance(d, instance)
	}
	if len(d.problems) > 0 {
		return nil, d.sorted()
	}
	return instance, nil
}

// ReadOperator reads and checks an operator file. The error is a Problems value.
func ReadOperator(file string, source []byte) (*Operator, error) {
	operator := new(Operator)
	d := decode(file, source, operator)
	checkSecret(d, operator.PeerSecret)
	if len(d.problems) > 0 {
		return nil, d.sorted()
	}
	return operator, nil
}

func checkSecret(d *decoder, secret string) {
	if secret != "" && len(secret) < minSecretBytes {
		d.fail("peer-secret", "found %d bytes, expected at least %d", len(secret), minSecretBytes)
	}
}

func (d *decoder) sorted() Problems {
	slices.SortStableFunc(d.problems, func(a, b Problem) int { return a.Line - b.Line })
	return d.problems
}

// names collects the names of a list and reports doubled and malformed ones.
func names[T any, N ~string](d *decoder, list string, items []T, name func(T) N) map[N]bool {
	seen := make(map[N]bool, len(items))
	for i, item := range items {
		n := name(item)
		path := fmt.Sprintf("%s[%d].name", list, i)
		switch {
		case n == "":
			// A missing name was reported by the decoder.
		case !kebabCase.MatchString(string(n)):
			d.fail(path, "found %q, expected a name in kebab case", n)
		case seen[n]:
			d.fail(path, "%q is already used, expected a new name", n)
		}
		seen[n] = true
	}
	return seen
}

func references[N ~string](d *decoder, path string, used []N, known map[N]bool, what string) {
	for i, n := range used {
		if !known[n] {
			d.fail(fmt.Sprintf("%s[%d]", path, i), "found %q, expected the name of a declared %s", n, what)
		}
	}
}

func checkDeployment(d *decoder, v *Deployment) {
	zones := names(d, "zones", v.Zones, func(z Zone) comfreyworks.Zone { return z.Name })
	models := names(d, "models", v.Models, func(m Model) comfreyworks.Model { return m.Name })
	classes := names(d, "classes", v.Classes, func(c Class) comfreyworks.Class { return c.Name })
	names(d, "workspaces", v.Workspaces, func(w Workspace) comfreyworks.Workspace { return w.Name })
	names(d, "pools", v.Pools, func(p Pool) comfreyworks.Pool { return p.Name })
	for i, m := range v.Models {
		if m.BytesPerToken == 0 {
			d.fail(fmt.Sprintf("models[%d].bytes-per-token", i), "found 0, expected at least 1")
		}
	}
	for i, w := range v.Workspaces {
		checkWorkspace(d, fmt.Sprintf("workspaces[%d]", i), w, classes)
	}
	for i, p := range v.Pools {
		checkPool(d, fmt.Sprintf("pools[%d]", i), p, zones, models)
	}
	checkModelPools(d, v)
}

func checkWorkspace(d *decoder, path string, w Workspace, classes map[comfreyworks.Class]bool) {
	hash, err := hex.DecodeString(w.KeyHash)
	if w.KeyHash != "" && (err != nil || len(hash)*2 != sha256HexLength) {
		d.fail(path+".key-sha256", "found %d characters, expected %d hexadecimal digits", len(w.KeyHash), sha256HexLength)
	}
	if len(w.Classes) == 0 {
		d.fail(path+".classes", "found no class, expected at least one")
	}
	references(d, path+".classes", w.Classes, classes, "class")
}

func checkPool(d *decoder, path string, p Pool, zones map[comfreyworks.Zone]bool, models map[comfreyworks.Model]bool) {
	references(d, path+".zones", p.Zones, zones, "zone")
	references(d, path+".models", p.Models, models, "model")
	switch p.Kind {
	case PoolEngine:
		if len(p.Models) == 0 {
			d.fail(path+".models", "found no model, expected at least one for an engine pool")
		}
		if len(p.Calls) > 0 {
			d.fail(path+".calls", "found calls, expected none for an engine pool")
		}
	case PoolService:
		if len(p.Models) > 0 {
			d.fail(path+".models", "found models, expected none for a service pool")
		}
	case "":
	default:
		d.fail(path+".kind", "found %q, expected engine or service", p.Kind)
	}
	if !slices.Contains(comfreyworks.PolicyNames(), p.Placement) {
		d.fail(path+".placement", "found %q, expected one of %v", p.Placement, comfreyworks.PolicyNames())
	}
	if p.Concurrency == 0 {
		d.fail(path+".concurrency", "found 0, expected at least 1")
	}
	if p.PrefillRate == 0 {
		d.fail(path+".prefill-tokens-per-second", "found 0, expected at least 1")
	}
	if p.DirectoryShards == 0 {
		d.fail(path+".directory-shards", "found 0, expected at least 1")
	}
	for i, call := range p.Calls {
		checkCall(d, fmt.Sprintf("%s.calls[%d]", path, i), call)
	}
}

func checkCall(d *decoder, path string, call Call) {
	if call.Method != "" && call.Method != strings.ToUpper(call.Method) {
		d.fail(path+".method", "found %q, expected an HTTP method in capitals", call.Method)
	}
	if call.Path != "" && !strings.HasPrefix(call.Path, "/") {
		d.fail(path+".path", "found %q, expected a path that starts with /", call.Path)
	}
}

// checkModelPools makes sure that each model has exactly one pool, because a
// request names a model and not a pool.
func checkModelPools(d *decoder, v *Deployment) {
	for i, m := range v.Models {
		pools := 0
		for _, p := range v.Pools {
			if slices.Contains(p.Models, m.Name) {
				pools++
			}
		}
		if m.Name != "" && pools != 1 {
			d.fail(fmt.Sprintf("models[%d].name", i), "%q is served by %d pools, expected exactly one", m.Name, pools)
		}
	}
}

func checkInstance(d *decoder, v *Instance) {
	if v.ID != "" && !instanceName.MatchString(string(v.ID)) {
		d.fail("instance", "found %q, expected a name such as \"lm-pool/3\"", v.ID)
	}
	checkSecret(d, v.PeerSecret)
	switch v.Role {
	case comfreyworks.RoleEntry, "":
	case comfreyworks.RoleSidecar:
		if v.Pool == "" {
			d.fail("pool", "missing, expected the name of the sidecar's pool")
		}
		if !v.Upstream.IsValid() {
			d.fail("upstream", "missing, expected the IP address and port of the upstream")
		}
	default:
		d.fail("role", "found %q, expected entry or sidecar", v.Role)
	}
}

// Model returns the declaration of a model, or nil.
func (v *Deployment) Model(name comfreyworks.Model) *Model {
	for i := range v.Models {
		if v.Models[i].Name == name {
			return &v.Models[i]
		}
	}
	return nil
}

// Pool returns the declaration of a pool, or nil.
func (v *Deployment) Pool(name comfreyworks.Pool) *Pool {
	for i := range v.Pools {
		if v.Pools[i].Name == name {
			return &v.Pools[i]
		}
	}
	return nil
}

// PoolOf returns the pool that serves a model, or nil.
func (v *Deployment) PoolOf(model comfreyworks.Model) *Pool {
	for i := range v.Pools {
		if slices.Contains(v.Pools[i].Models, model) {
			return &v.Pools[i]
		}
	}
	return nil
}

// Class returns the declaration of a class, or nil.
func (v *Deployment) Class(name comfreyworks.Class) *Class {
	for i := range v.Classes {
		if v.Classes[i].Name == name {
			return &v.Classes[i]
		}
	}
	return nil
}

// PrefillTime returns the estimated time to compute one prompt token.
func (p *Pool) PrefillTime() time.Duration {
	return time.Second / time.Duration(p.PrefillRate)
}

// Repeatable tells whether a call to a service pool may run more than once.
// Calls that are not declared may not, whatever their method.
func (p *Pool) Repeatable(method, path string) bool {
	path, _, _ = strings.Cut(path, "?")
	for _, call := range p.Calls {
		if call.Method == method && call.Path == path {
			return call.Repeatable
		}
	}
	return false
}
