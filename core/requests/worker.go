// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/health"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/loads"
	"github.com/yardhall/yardhall/core/registry"
)

// worker is what this host knows of one worker. How far it is trusted is a scale: one
// that is available is healthy, one that is healthy may be alive.
type worker struct {
	registry.Worker
	// key is the hash of its id, for the order of preference.
	key hash.Key
	tag loads.Tag
	// reportedBy is the host from which its registration came last.
	reportedBy ident.Host
	health     health.Target
	// inFlight is how many requests this host has there.
	inFlight int
	// selfReported is how many the other hosts have, by the worker's own report at
	// selfReportedAt.
	selfReported   int
	selfReportedAt time.Time
	// replaced is set where another worker answers at the address.
	replaced bool
	// fullUntil is how long a worker that declined is passed over.
	fullUntil time.Time
}

// available tells whether new work may be sent to the worker: it is healthy and has not
// just declined.
func (w worker) available(now time.Time) bool { return w.healthy(now) && !now.Before(w.fullUntil) }

// healthy tells whether the worker is registered as ready and not ejected.
func (w worker) healthy(now time.Time) bool {
	return w.State == registry.Ready && !w.replaced && w.health.Usable(now)
}

// maybeAlive tells whether work may be sent there where nothing better is left.
func (w worker) maybeAlive() bool {
	return !w.replaced && (w.State == registry.Ready || w.State == registry.Silent)
}

// registered takes registrations that are newer than what is known.
func (t *transition) registered(ev Registered) {
	for _, r := range ev.Workers {
		have, known := t.workers.Get(r.ID)
		if known && !registry.Newer(r, have.Worker) {
			continue
		}
		// A worker that is gone is remembered, so that an older registration from
		// another replica does not bring it back.
		if r.State == registry.Gone && known {
			r.Pool, r.Address, r.Zone, r.Slots = have.Pool, have.Address, have.Zone, have.Slots
		}
		if !known || have.State != r.State {
			t.out = append(t.out, WorkerChanged{
				Worker: r, Healthy: r.State == registry.Ready, Why: "registration, by " + string(ev.From),
			})
		}
		have.reportedBy = ev.From
		have.Worker, have.key, have.tag = r, hash.Of(string(r.ID)), loads.TagOf(r.ID)
		t.workers = t.workers.With(r.ID, have)
	}
}
