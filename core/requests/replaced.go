// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/table"
)

// Where another process answers at a worker's address, the host that found out reports it,
// so that hundreds of hosts need not send each a request to find out for themselves: a
// worker that crashes and starts again behind a cut cannot register meanwhile. Replicas then
// take the worker for silent until its next heartbeat (registry.WithReplaced), so that a
// report that is wrong, or late, costs one heartbeat.
//
// Inputs: answers that decline a request as meant for another process.
const (
	// replacedLifetime is how long such an observation is reported: a few polls.
	replacedLifetime = 2 * time.Second
	// maxReplaced bounds those reported together, a hundredth of the workers of the
	// largest pools many times over. What is left out each host finds out for itself.
	maxReplaced = 64
)

// Replacement is a worker at whose address another process answered at SeenAt.
type Replacement struct {
	Worker ident.Target
	Born   registry.Incarnation
	SeenAt time.Time
}

// Replacements are the workers found replaced lately. It is immutable; the zero value is
// empty.
type Replacements struct {
	byWorker table.Table[ident.Target, Replacement]
}

// With adds one, and forgets those that are reported no more.
func (r Replacements) With(one Replacement, now time.Time) Replacements {
	for id, other := range r.byWorker.All() {
		if now.Sub(other.SeenAt) > replacedLifetime {
			r.byWorker = r.byWorker.Without(id)
		}
	}
	if have, ok := r.byWorker.Get(one.Worker); ok && !one.SeenAt.After(have.SeenAt) || r.byWorker.Len() >= maxReplaced {
		return r
	}
	r.byWorker = r.byWorker.With(one.Worker, one)
	return r
}

// Recent are those to be reported now.
func (r Replacements) Recent(now time.Time) []Replacement {
	var out []Replacement
	for _, one := range r.byWorker.All() {
		if now.Sub(one.SeenAt) <= replacedLifetime {
			out = append(out, one)
		}
	}
	return out
}

// Replacements are the workers that this host itself found replaced lately.
func (s State) Replacements() Replacements { return s.foundReplaced }

// noteReplaced notes an attempt that found another process at its worker's address.
func (t *transition) noteReplaced(w worker, a outcome.Attempt) {
	if d, ok := a.(outcome.Declined); ok && d.Leaving && w.State == registry.Ready {
		t.foundReplaced = t.foundReplaced.With(Replacement{Worker: w.ID, Born: w.Born, SeenAt: t.now}, t.now)
	}
}
