package rules

import "strings"

// Match returns the first route in file order that applies to a call. path is what follows /v1/services/{service}.
func (r *Rules) Match(service, method, path string) (Route, bool) {
	for _, route := range r.Routes {
		if route.Service == service && (route.Method == "*" || route.Method == method) && matchPath(route.Path, path) {
			return route, true
		}
	}
	return Route{}, false
}

// matchPath compares a path with a pattern. "/x/*" matches what is below /x, any other pattern only itself.
func matchPath(pattern, path string) bool {
	if prefix, ok := strings.CutSuffix(pattern, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return path == pattern
}
