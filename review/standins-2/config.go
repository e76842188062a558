package main

const (
	hostName = "ficu95.example"
	apiKey   = "n2ctnfzs989anu6wsjnb"
	tenant   = "hule930"
)

type route struct {
	name, prefix, kind, service string
	timeoutMs, targetMs         int
	attempts                    int
	resumable                   bool
}

// writeConfig writes a configuration as the operator does.
func writeConfig(s *store, version int, routes []route, services []map[string]any) {
	var list []map[string]any
	for _, r := range routes {
		entry := map[string]any{"name": r.name, "host": hostName, "path_prefix": r.prefix, "type": r.kind, "timeout_ms": r.timeoutMs,
			wire["targetLatency"]: r.targetMs, "priority": 2, "service": r.service, "max_attempts": r.attempts}
		if r.resumable {
			entry["resumable"] = true
		}
		list = append(list, entry)
	}
	s.put("config", "main", map[string]any{"version": version, "routes": list, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
		"tenants": []map[string]any{{"name": tenant, wire["apiKeys"]: []string{apiKey}}}})
}

func plainService(name string, coldS, coldPerS float64) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_connections": 100, "cold_start_s": coldS, "cold_per_s": coldPerS}
}
