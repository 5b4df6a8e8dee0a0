// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package config

import (
	"slices"
	"strings"

	"github.com/yardhall/yardhall/core/ident"
)

// RouteIndex finds routes, pools and key owners of one RouteTable. It never changes.
type RouteIndex struct {
	routes map[string][]Route
	owners map[string]KeyOwner
	pools  map[ident.Service]Pool
	// used are the pools that some route sends requests to.
	used []ident.Service
	// named are the names of the routes.
	named map[string]bool
	// keysRequired is set if routes that are not public need a key.
	keysRequired bool
}

// Index returns the document prepared for look-ups.
func (t RouteTable) Index() RouteIndex {
	x := RouteIndex{
		routes: map[string][]Route{}, owners: map[string]KeyOwner{}, pools: map[ident.Service]Pool{}, named: map[string]bool{},
	}
	for _, r := range t.Routes {
		name := strings.ToLower(r.Host)
		x.routes[name] = append(x.routes[name], r)
		x.named[r.Name] = true
	}
	for _, routes := range x.routes {
		slices.SortFunc(routes, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, h := range t.Keys {
		for _, key := range h.KeyHashes {
			x.owners[key] = h
		}
	}
	for _, p := range t.Pools {
		x.pools[p.ID] = p
	}
	x.used = t.usedPools()
	x.keysRequired = len(t.Keys) > 0
	return x
}

// Named tells whether a route has a name.
func (x RouteIndex) Named(route string) bool { return x.named[route] }

// Used are the pools that some route sends requests to, in the order of their names.
func (x RouteIndex) Used() []ident.Service { return x.used }

func (t RouteTable) usedPools() []ident.Service {
	var out []ident.Service
	for _, r := range t.Routes {
		for _, s := range r.Shares {
			if s.Weight > 0 {
				out = append(out, s.Pool)
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Route returns the route of host and path with the longest prefix. A port in
// the host name is ignored.
func (x RouteIndex) Route(host, path string) (Route, bool) {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, r := range x.routes[name] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// KeyOwner returns the account that holds the key with the given hash.
func (x RouteIndex) KeyOwner(keyHash string) (KeyOwner, bool) {
	h, ok := x.owners[keyHash]
	return h, ok
}

// KeysRequired reports whether requests on routes that are not public need a key. It is true also if the
// last key was taken away.
func (x RouteIndex) KeysRequired() bool { return x.keysRequired }

// Pool returns a pool by its id.
func (x RouteIndex) Pool(id ident.Service) (Pool, bool) {
	p, ok := x.pools[id]
	return p, ok
}
