package main

// manifest returns a manifest of a deployment with one model service and one plain
// service. Tenants are given as name, isolated, keys.
func manifest(version int, tenants ...tenant) map[string]any {
	routes := []map[string]any{
		route("book", "non_idempotent", "dispatch", 1, false),
		route("look", "idempotent", "dispatch", 2, false),
		route("note", "streaming", "lm-pool", 2, true),
	}
	list := []map[string]any{}
	for _, t := range tenants {
		list = append(list, map[string]any{"name": t.name, "api_keys": t.keys, "priority": 1, "isolated": t.isolated})
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": "dispatch", "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false},
			{"name": "lm-pool", "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_capacity_tokens": 95939, "kv_token_bytes": 163840, "max_concurrent": 12, "models": []map[string]any{{"name": model}},
			}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": list,
	}
}

const (
	host  = "floors.example"
	model = "oak-1"
)

type tenant struct {
	name     string
	isolated bool
	keys     []string
}

func route(name, kind, service string, attempts int, affinity bool) map[string]any {
	r := map[string]any{
		"name": name, "hostname": host, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": 4000, "target_latency_ms": 400,
		"priority": 1, "service": service, "max_attempts": attempts, "public": false,
	}
	if affinity {
		r["session_affinity"], r["resumable"], r["gap_target_ms"] = true, true, 400
	}
	return r
}
