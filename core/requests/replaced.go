// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/table"
)

// If another process answers at a worker's address, the host that finds out reports it, so that
// hundreds of hosts need not each send a request to find out: a worker that crashes and restarts
// behind a partition cannot register meanwhile. Replicas then treat the worker as silent until
// its next heartbeat (registry.WithReplaced), so a wrong or late report costs one heartbeat
// interval.
//
// Inputs: answers that decline a request because it was meant for another process.
const (
	// replacementTTL is how long a replacement is reported: a few polls.
	replacementTTL = 2 * time.Second
	// maxReplacements bounds a report. Hosts find out about any others by themselves.
	maxReplacements = 64
)

// Replacement records that at SeenAt another process answered at a worker's address. Born is the
// incarnation of the worker that it replaced.
type Replacement struct {
	Worker ident.Target
	Born   registry.Incarnation
	SeenAt time.Time
}

// Replacements are the recently observed replacements. It is immutable; the zero value is empty.
type Replacements struct {
	byWorker table.Table[ident.Target, Replacement]
}

// With drops expired replacements and adds one, unless a later one of the worker is held or
// maxReplacements is reached.
func (r Replacements) With(replacement Replacement, now time.Time) Replacements {
	for id, other := range r.byWorker.All() {
		if now.Sub(other.SeenAt) > replacementTTL {
			r.byWorker = r.byWorker.Without(id)
		}
	}
	if previous, ok := r.byWorker.Get(replacement.Worker); ok && !replacement.SeenAt.After(previous.SeenAt) || r.byWorker.Len() >= maxReplacements {
		return r
	}
	r.byWorker = r.byWorker.With(replacement.Worker, replacement)
	return r
}

// Recent returns the replacements that have not expired.
func (r Replacements) Recent(now time.Time) []Replacement {
	var out []Replacement
	for _, one := range r.byWorker.All() {
		if now.Sub(one.SeenAt) <= replacementTTL {
			out = append(out, one)
		}
	}
	return out
}

// Replacements returns the replacements that this host observed itself.
func (s State) Replacements() Replacements { return s.foundReplaced }

// recordReplacement records an attempt that found another process at its worker's address.
func (t *transition) recordReplacement(w worker, a outcome.Attempt) {
	if d, ok := a.(outcome.Declined); ok && d.Leaving && w.State == registry.Ready {
		t.foundReplaced = t.foundReplaced.With(Replacement{Worker: w.ID, Born: w.Born, SeenAt: t.now}, t.now)
	}
}
