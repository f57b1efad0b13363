package config

// ResolvedRoute is a route with its class and service.
type ResolvedRoute struct {
	Route   Route
	Class   Class
	Service Service
}

// Index matches calls to routes. It is immutable.
type Index struct {
	// allServices holds every route, for calls that name no service; byService
	// holds the routes of each service, for calls that name one.
	allServices prefixTable
	byService   map[string]*prefixTable
}

// prefixTable maps a path prefix to its routes.
type prefixTable struct {
	routes map[string][]*ResolvedRoute
	// longestPrefix is the length of the longest prefix, in bytes.
	longestPrefix int
}

// NewIndex builds the index of a valid snapshot.
func NewIndex(s *Snapshot) *Index {
	index := &Index{byService: make(map[string]*prefixTable, len(s.Services))}
	classes, services := byName(s.Classes, className), byName(s.Services, serviceName)
	for _, r := range s.Routes {
		resolved := &ResolvedRoute{Route: r, Class: classes[string(r.Class)], Service: services[string(r.Service)]}
		table := index.byService[string(r.Service)]
		if table == nil {
			table = &prefixTable{}
			index.byService[string(r.Service)] = table
		}
		table.add(resolved)
		index.allServices.add(resolved)
	}
	return index
}

func (t *prefixTable) add(r *ResolvedRoute) {
	if t.routes == nil {
		t.routes = map[string][]*ResolvedRoute{}
	}
	prefix := r.Route.PathPrefix
	t.routes[prefix] = append(t.routes[prefix], r)
	t.longestPrefix = max(t.longestPrefix, len(prefix))
}

// Match returns the route of a call. The path must not include the query. An
// empty service means that the call names none. A prefix matches the path that
// equals it and the paths that continue it after a slash. Among the routes whose
// prefix, method and service match, the longest path prefix takes precedence,
// then a route that names the method over one that accepts every method.
// Match returns false if no route matches, or if the call names no service and
// the choice between routes of several services is ambiguous. It does not
// allocate.
func (index *Index) Match(service, method, path []byte) (*ResolvedRoute, bool) {
	table := &index.allServices
	if len(service) > 0 {
		table = index.byService[string(service)]
	}
	if table == nil || len(path) == 0 || path[0] != '/' {
		return nil, false
	}
	for end := len(path); end > 0; end = lastSlash(path[:end]) {
		if end > table.longestPrefix {
			continue
		}
		if r, found := selectRoute(table.routes[string(path[:end])], method); found {
			return r, r != nil
		}
	}
	r, _ := selectRoute(table.routes["/"], method)
	return r, r != nil
}

// selectRoute returns the route for a method among the routes of one prefix. A
// route that names the method takes precedence over one that accepts every
// method. It reports whether any route matches; the route is nil if the choice
// is ambiguous.
func selectRoute(routes []*ResolvedRoute, method []byte) (r *ResolvedRoute, found bool) {
	var exact, wildcard *ResolvedRoute
	exactCount, wildcardCount := 0, 0
	for _, candidate := range routes {
		switch candidate.Route.Method {
		case string(method):
			exact, exactCount = candidate, exactCount+1
		case "":
			wildcard, wildcardCount = candidate, wildcardCount+1
		}
	}
	switch {
	case exactCount == 1:
		return exact, true
	case exactCount == 0 && wildcardCount == 1:
		return wildcard, true
	default:
		return nil, exactCount+wildcardCount > 0
	}
}

// lastSlash returns the index of the last slash in path, or 0 if there is none.
func lastSlash(path []byte) int {
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '/' {
			return i
		}
	}
	return 0
}
