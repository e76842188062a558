package main

// service is a plain service in the operator's config.
func service(name string, coldStartS, coldPerS float64) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_connections": 384, "protocol": "h1", "tls": false,
		"cold_start_s": coldStartS, "cold_per_s": coldPerS}
}

func route(name, prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{"name": name, "host": clientHost, "path_prefix": prefix, "type": kind, "timeout_ms": 4000, wire.LatencyField: 300,
		"priority": 1, "service": service, "max_attempts": attempts, "public": false, "session_affinity": false, "resumable": false}
}

func config(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": tenantName, wire.KeysField: []string{clientKey}, "priority": 1}}}
}

// maxBodyBytes is the limit on a body in the config of the sheets.
const maxBodyBytes = 4194304
