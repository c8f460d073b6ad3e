package settings

import (
	"fmt"
	"strings"
	"time"

	"comfreyworks"
)

// ReviewDeployment reads and checks a deployment file like ReadDeployment. If it is
// valid, it also returns warnings: entries that can never match or that nothing refers
// to, and limits that contradict each other.
func ReviewDeployment(file string, source []byte) (*Deployment, Problems, error) {
	deployment := new(Deployment)
	d := decode(file, source, deployment)
	if len(d.lines) > 0 {
		checkDeployment(d, deployment)
	}
	if len(d.problems) > 0 {
		return nil, nil, d.sortedProblems()
	}
	reviewClasses(d, deployment)
	reviewWorkspaces(d, deployment.Workspaces)
	reviewCallers(d, &deployment.Callers)
	for i := range deployment.Pools {
		reviewPool(d, fmt.Sprintf("pools[%d]", i), &deployment.Pools[i], deployment.Classes)
	}
	return deployment, d.sortedProblems(), nil
}

// warnIfRepeated warns of items that are in a list more than once.
func warnIfRepeated[N ~string](d *decoder, path string, items []N) {
	first := make(map[N]int)
	for i, item := range items {
		if before, ok := first[item]; ok {
			d.addProblem(fmt.Sprintf("%s[%d]", path, i), "%q is in the list already, at %s[%d]", item, path, before)
			continue
		}
		first[item] = i
	}
}

func reviewClasses(d *decoder, v *Deployment) {
	used := make(map[comfreyworks.Class]bool)
	for _, w := range v.Workspaces {
		for _, class := range w.Classes {
			used[class] = true
		}
	}
	for i, class := range v.Classes {
		path := fmt.Sprintf("classes[%d]", i)
		if !used[class.Name] {
			d.addProblem(path+".name", "%q is in the classes of no workspace, so no request can have it", class.Name)
		}
		if class.Deadline == 0 {
			d.addProblem(path+".deadline", "found 0s, so every request of the class ends at once")
		}
		if class.QueueBound == 0 {
			d.addProblem(path+".queue-bound", "found 0, so every request of the class that would have to wait is refused")
		}
	}
}

func reviewWorkspaces(d *decoder, workspaces []Workspace) {
	last := make(map[string]int)
	for i, w := range workspaces {
		last[strings.ToLower(w.KeyHash)] = i
	}
	for i, w := range workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		warnIfRepeated(d, path+".classes", w.Classes)
		if other := last[strings.ToLower(w.KeyHash)]; other != i {
			d.addProblem(path+".key-sha256", "workspace %q has the same key, so no request is counted as one of %q", workspaces[other].Name, w.Name)
		}
	}
}

func reviewCallers(d *decoder, c *Callers) {
	if c.MaxBody == 0 {
		d.addProblem("callers.max-body", "found 0, so every request with a body is refused")
	}
	if c.BodyTimeout > 0 && c.BodyTimeout < c.HeaderTimeout {
		d.addProblem("callers.body-timeout", "found %s, which includes the header and is less than callers.header-timeout, %s", c.BodyTimeout, c.HeaderTimeout)
	}
	if c.WriteTimeout == 0 {
		d.addProblem("callers.write-timeout", "found 0s, so every answer is cut off")
	}
}

func reviewPool(d *decoder, path string, p *Pool, classes []Class) {
	warnIfRepeated(d, path+".zones", p.Zones)
	warnIfRepeated(d, path+".models", p.Models)
	if p.Replicas == 0 {
		d.addProblem(path+".replicas", "found 0, so nothing serves the requests of the pool")
	}
	if p.Kind == PoolService {
		reviewCalls(d, path+".calls", p.Calls)
		reviewIdempotencyWindow(d, path, p, classes)
		return
	}
	if p.Replicas > 0 && p.DirectoryShards > p.Replicas {
		d.addProblem(path+".directory-shards", "found %d, more than the %d replicas that hold them", p.DirectoryShards, p.Replicas)
	}
	if p.LoadPermits == 0 {
		d.addProblem(path+".load-permits", "found 0, so no engine may load weights")
	}
	if p.Replicas > 1 && p.LoadPermits >= p.Replicas {
		d.addProblem(path+".load-permits", "found %d, so all %d replicas may load weights at the same time and none serves", p.LoadPermits, p.Replicas)
	}
}

// reviewCalls warns of calls that can never match: an earlier one has the same method
// and path, or the path has a query, which is ignored in requests.
func reviewCalls(d *decoder, path string, calls []Call) {
	type key struct{ method, path string }
	first := make(map[key]int)
	for i, call := range calls {
		at := fmt.Sprintf("%s[%d].path", path, i)
		before, shadowed := first[key{call.Method, call.Path}]
		switch {
		case strings.Contains(call.Path, "?"):
			d.addProblem(at, "%q never matches, because the query of a request is ignored", call.Path)
		case shadowed:
			d.addProblem(at, "%s %s never matches, because %s[%d] is the same call", call.Method, call.Path, path, before)
		default:
			first[key{call.Method, call.Path}] = i
		}
	}
}

// reviewIdempotencyWindow warns of keys that may expire while their request runs: a
// repetition would be refused although its outcome is not known.
func reviewIdempotencyWindow(d *decoder, path string, p *Pool, classes []Class) {
	var longest time.Duration
	for _, class := range classes {
		longest = max(longest, class.Deadline)
	}
	if p.IdempotencyWindow < longest {
		d.addProblem(path+".idempotency-window", "found %s, less than the longest deadline of a class, %s: a key can expire while its request runs", p.IdempotencyWindow, longest)
	}
}
