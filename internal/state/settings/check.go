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

// minSecretBytes is the minimum length of a peer secret in bytes.
const minSecretBytes = 16

// sha256HexLength is the length of a SHA-256 hash in hexadecimal digits.
const sha256HexLength = 64

var kebabCasePattern = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// instanceNamePattern matches names in kebab case, separated by slashes. It
// excludes dots because event identifiers contain the name between dots.
var instanceNamePattern = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*(/[a-z0-9]+(-[a-z0-9]+)*)*$`)

// ReadDeployment reads and checks a deployment file. The error is a Problems
// value.
func ReadDeployment(file string, source []byte) (*Deployment, error) {
	deployment := new(Deployment)
	d := decode(file, source, deployment)
	if len(d.lines) > 0 {
		checkDeployment(d, deployment)
	}
	if len(d.problems) > 0 {
		return nil, d.sortedProblems()
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
		return nil, d.sortedProblems()
	}
	return instance, nil
}

// ReadOperator reads and checks an operator file. The error is a Problems value.
func ReadOperator(file string, source []byte) (*Operator, error) {
	operator := new(Operator)
	d := decode(file, source, operator)
	checkSecret(d, operator.PeerSecret)
	if len(d.problems) > 0 {
		return nil, d.sortedProblems()
	}
	return operator, nil
}

func checkSecret(d *decoder, secret string) {
	if secret != "" && len(secret) < minSecretBytes {
		d.addProblem("peer-secret", "found %d bytes, expected at least %d", len(secret), minSecretBytes)
	}
}

func (d *decoder) sortedProblems() Problems {
	slices.SortStableFunc(d.problems, func(a, b Problem) int { return a.Line - b.Line })
	return d.problems
}

// checkNames returns the set of names in a list and reports malformed and
// duplicate ones.
func checkNames[T any, N ~string](d *decoder, list string, items []T, name func(T) N) map[N]bool {
	seen := make(map[N]bool, len(items))
	for i, item := range items {
		n := name(item)
		path := fmt.Sprintf("%s[%d].name", list, i)
		switch {
		case n == "":
			// The decoder has already reported the missing name.
		case !kebabCasePattern.MatchString(string(n)):
			d.addProblem(path, "found %q, expected a name in kebab case", n)
		case seen[n]:
			d.addProblem(path, "%q is already used, expected a new name", n)
		}
		seen[n] = true
	}
	return seen
}

// checkReferences reports names that are not declared. kind tells what they name.
func checkReferences[N ~string](d *decoder, path string, used []N, known map[N]bool, kind string) {
	for i, n := range used {
		if !known[n] {
			d.addProblem(fmt.Sprintf("%s[%d]", path, i), "found %q, expected the name of a declared %s", n, kind)
		}
	}
}

func checkDeployment(d *decoder, v *Deployment) {
	zones := checkNames(d, "zones", v.Zones, func(z Zone) comfreyworks.Zone { return z.Name })
	models := checkNames(d, "models", v.Models, func(m Model) comfreyworks.Model { return m.Name })
	classes := checkNames(d, "classes", v.Classes, func(c Class) comfreyworks.Class { return c.Name })
	checkNames(d, "workspaces", v.Workspaces, func(w Workspace) comfreyworks.Workspace { return w.Name })
	checkNames(d, "pools", v.Pools, func(p Pool) comfreyworks.Pool { return p.Name })
	for i, m := range v.Models {
		if m.BytesPerToken == 0 {
			d.addProblem(fmt.Sprintf("models[%d].bytes-per-token", i), "found 0, expected at least 1")
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
		d.addProblem(path+".key-sha256", "found %d characters, expected %d hexadecimal digits", len(w.KeyHash), sha256HexLength)
	}
	if len(w.Classes) == 0 {
		d.addProblem(path+".classes", "found no class, expected at least one")
	}
	checkReferences(d, path+".classes", w.Classes, classes, "class")
}

func checkPool(d *decoder, path string, p Pool, zones map[comfreyworks.Zone]bool, models map[comfreyworks.Model]bool) {
	checkReferences(d, path+".zones", p.Zones, zones, "zone")
	checkReferences(d, path+".models", p.Models, models, "model")
	switch p.Kind {
	case PoolEngine:
		if len(p.Models) == 0 {
			d.addProblem(path+".models", "found no model, expected at least one for an engine pool")
		}
		if len(p.Calls) > 0 {
			d.addProblem(path+".calls", "found calls, expected none for an engine pool")
		}
	case PoolService:
		if len(p.Models) > 0 {
			d.addProblem(path+".models", "found models, expected none for a service pool")
		}
	case "":
	default:
		d.addProblem(path+".kind", "found %q, expected engine or service", p.Kind)
	}
	if !slices.Contains(comfreyworks.PolicyNames(), p.Placement) {
		d.addProblem(path+".placement", "found %q, expected one of %v", p.Placement, comfreyworks.PolicyNames())
	}
	if p.Concurrency == 0 {
		d.addProblem(path+".concurrency", "found 0, expected at least 1")
	}
	if p.PrefillRate == 0 {
		d.addProblem(path+".prefill-tokens-per-second", "found 0, expected at least 1")
	}
	if p.DirectoryShards == 0 {
		d.addProblem(path+".directory-shards", "found 0, expected at least 1")
	}
	for i, call := range p.Calls {
		checkCall(d, fmt.Sprintf("%s.calls[%d]", path, i), call)
	}
}

func checkCall(d *decoder, path string, call Call) {
	if call.Method != "" && call.Method != strings.ToUpper(call.Method) {
		d.addProblem(path+".method", "found %q, expected an HTTP method in capitals", call.Method)
	}
	if call.Path != "" && !strings.HasPrefix(call.Path, "/") {
		d.addProblem(path+".path", "found %q, expected a path that starts with /", call.Path)
	}
}

// checkModelPools checks that each model is served by exactly one pool, because
// requests name a model and not a pool.
func checkModelPools(d *decoder, v *Deployment) {
	for i, m := range v.Models {
		pools := 0
		for _, p := range v.Pools {
			if slices.Contains(p.Models, m.Name) {
				pools++
			}
		}
		if m.Name != "" && pools != 1 {
			d.addProblem(fmt.Sprintf("models[%d].name", i), "%q is served by %d pools, expected exactly one", m.Name, pools)
		}
	}
}

func checkInstance(d *decoder, v *Instance) {
	if v.ID != "" && !instanceNamePattern.MatchString(string(v.ID)) {
		d.addProblem("instance", "found %q, expected a name such as \"lm-pool/3\"", v.ID)
	}
	checkSecret(d, v.PeerSecret)
	switch v.Role {
	case comfreyworks.RoleEntry, "":
	case comfreyworks.RoleSidecar:
		if v.Pool == "" {
			d.addProblem("pool", "missing, expected the name of the sidecar's pool")
		}
		if !v.Upstream.IsValid() {
			d.addProblem("upstream", "missing, expected the IP address and port of the upstream")
		}
	default:
		d.addProblem("role", "found %q, expected entry or sidecar", v.Role)
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

// PoolForModel returns the pool that serves a model, or nil.
func (v *Deployment) PoolForModel(model comfreyworks.Model) *Pool {
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

// PrefillTime returns the estimated time to prefill one prompt token.
func (p *Pool) PrefillTime() time.Duration {
	return time.Second / time.Duration(p.PrefillRate)
}

// Repeatable reports whether a call to a service pool may run more than once. The
// query of path is ignored. Calls that are not declared may run only once,
// whatever their method.
func (p *Pool) Repeatable(method, path string) bool {
	path, _, _ = strings.Cut(path, "?")
	for _, call := range p.Calls {
		if call.Method == method && call.Path == path {
			return call.Repeatable
		}
	}
	return false
}
