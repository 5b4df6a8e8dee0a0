// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package popularity

import (
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
)

// Collectors are the hosts that count prompts. Its slices are never modified in place.
type Collectors struct{ Hubs, Replicas []ident.Host }

// Len returns the number of collectors.
func (c Collectors) Len() int { return len(c.Hubs) + len(c.Replicas) }

// All returns all collectors.
func (c Collectors) All() []ident.Host { return slices.Concat(c.Hubs, c.Replicas) }

// usual returns the collectors among which that of each prefix is.
func (c Collectors) usual() []ident.Host {
	if len(c.Hubs) > 0 {
		return c.Hubs
	}
	return c.Replicas
}

// first returns the host that ranks first for a prefix.
func first(tag Tag, hosts []ident.Host) (ident.Host, bool) {
	return hash.Best(hash.Key(tag), hosts, func(h ident.Host) string { return string(h) })
}

// Coverage tells which prefixes of all hosts' prompts are counted. It is immutable; the zero Coverage has all.
type Coverage struct {
	collectors Collectors
	unsettled  []ident.Host
}

// Coverage returns the coverage at a time.
func (r Reporter) Coverage(c Collectors, now time.Time) Coverage {
	v := Coverage{collectors: c}
	for _, h := range c.All() {
		if p, ok := r.peers.Get(h); ok && !p.isSettled(now) {
			v.unsettled = append(v.unsettled, h)
		}
	}
	return v
}

// Has reports whether the collector of a prefix, or its usual substitute, counts the prompts of all hosts.
func (v Coverage) Has(tag Tag) bool {
	if len(v.unsettled) == 0 {
		return true
	}
	usual, ok := first(tag, v.collectors.usual())
	if ok && !slices.Contains(v.unsettled, usual) {
		return true
	}
	others := slices.DeleteFunc(slices.Clone(v.collectors.Replicas), func(h ident.Host) bool { return h == usual })
	substitute, ok := first(tag, others)
	return ok && !slices.Contains(v.unsettled, substitute)
}
