package config

// ResolvedRoute is a route with its class and service.
type ResolvedRoute struct {
	Route   Route
	Class   Class
	Service Service
}

// Index matches calls to routes. It is immutable.
type Index struct {
	// all holds the routes of all services; services holds each service's own.
	all      prefixTable
	services map[string]*prefixTable
}

// prefixTable finds routes by path prefix.
type prefixTable struct {
	routes map[string][]*ResolvedRoute
	// longest is the length of the longest prefix, in bytes.
	longest int
}

// NewIndex builds the index of a valid snapshot.
func NewIndex(s *Snapshot) *Index {
	x := &Index{services: make(map[string]*prefixTable, len(s.Services))}
	classes, services := byName(s.Classes, className), byName(s.Services, serviceName)
	for _, r := range s.Routes {
		resolved := &ResolvedRoute{Route: r, Class: classes[string(r.Class)], Service: services[string(r.Service)]}
		table := x.services[string(r.Service)]
		if table == nil {
			table = &prefixTable{}
			x.services[string(r.Service)] = table
		}
		table.add(resolved)
		x.all.add(resolved)
	}
	return x
}

func (t *prefixTable) add(r *ResolvedRoute) {
	if t.routes == nil {
		t.routes = map[string][]*ResolvedRoute{}
	}
	prefix := r.Route.PathPrefix
	t.routes[prefix] = append(t.routes[prefix], r)
	t.longest = max(t.longest, len(prefix))
}

// Match returns the route of a call. The path has no query. An empty service
// stands for a call that names none. A prefix matches the path that equals it
// and the paths that continue it after a slash. Among the routes whose method
// and service fit, the longest path prefix wins, then a route with a method
// over one without. Match returns false if no route fits, or if the call names
// no service and routes of several services fit equally well. It does not
// allocate.
func (x *Index) Match(service, method, path []byte) (*ResolvedRoute, bool) {
	table := &x.all
	if len(service) > 0 {
		table = x.services[string(service)]
	}
	if table == nil || len(path) == 0 || path[0] != '/' {
		return nil, false
	}
	for end := len(path); end > 0; end = lastSlash(path[:end]) {
		if end > table.longest {
			continue
		}
		if r, fits := pick(table.routes[string(path[:end])], method); fits {
			return r, r != nil
		}
	}
	r, _ := pick(table.routes["/"], method)
	return r, r != nil
}

// pick returns the route of one prefix for a method. It reports whether any
// route fits; the route is nil if several fit equally well.
func pick(routes []*ResolvedRoute, method []byte) (r *ResolvedRoute, fits bool) {
	var exact, general *ResolvedRoute
	exacts, generals := 0, 0
	for _, candidate := range routes {
		switch candidate.Route.Method {
		case string(method):
			exact, exacts = candidate, exacts+1
		case "":
			general, generals = candidate, generals+1
		}
	}
	switch {
	case exacts == 1:
		return exact, true
	case exacts == 0 && generals == 1:
		return general, true
	default:
		return nil, exacts+generals > 0
	}
}

func lastSlash(path []byte) int {
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '/' {
			return i
		}
	}
	return 0
}
