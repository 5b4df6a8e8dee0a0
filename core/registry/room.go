// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package registry

import (
	"cmp"
	"slices"

	"github.com/yardhall/yardhall/core/ident"
)

// The number of workers remembered is bounded, so that a writer that invents ids cannot fill the
// memory. Once the bound is reached, a new worker takes the place of one that is gone or silent,
// the one last seen longest ago. Invented workers become silent, which hosts are sent, so they make
// room before long, and a worker that goes on sending heartbeats is never dropped.
const (
	// maxWorkers bounds the workers remembered by a replica: three times the targets of the largest
	// fleet designed for, as workers that have ended are remembered for minutes.
	maxWorkers = 32768
	// droppedAtOnce is how many workers are dropped at a time, as finding them takes a scan.
	droppedAtOnce = 256
)

// WithRoom returns the registry with room for a worker, and the number of other workers dropped for
// it; ok is false if all others are alive.
func (r Registry) WithRoom(id ident.Target) (next Registry, dropped int, ok bool) {
	if r.workers.Len() < maxWorkers || r.workers.Has(id) {
		return r, 0, true
	}
	if r.ended == 0 {
		return r, 0, false
	}
	var ended []ident.Target
	for id, e := range r.workers.All() {
		if e.endedCount() > 0 {
			ended = append(ended, id)
		}
	}
	slices.SortFunc(ended, func(a, b ident.Target) int {
		first, _ := r.workers.Get(a)
		second, _ := r.workers.Get(b)
		return cmp.Or(first.lastSeen.Compare(second.lastSeen), cmp.Compare(a, b))
	})
	ended = ended[:min(droppedAtOnce, len(ended))]
	for _, id := range ended {
		e, _ := r.workers.Get(id)
		r = r.without(id, e)
	}
	return r, len(ended), len(ended) > 0
}
