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

// worker is what this host knows of one worker.
type worker struct {
	registry.Worker
	// key is the hash of its id, for the order of preference.
	key hash.Key
	tag loads.Tag
	// toldBy is the replica that told of it last.
	toldBy ident.Host
	health health.Target
	// own is how many requests this host has there.
	own int
	// saidOthers is how many the other hosts have, by the worker's own word at
	// saidAt.
	saidOthers int
	saidAt     time.Time
	// replaced is set where another worker answers at the address.
	replaced bool
	// fullUntil is how long a worker that declined is passed over.
	fullUntil time.Time
}

const (
	// othersLife is how long the word on other hosts' requests counts.
	othersLife = 3 * time.Second
)

// load estimates the requests that a worker has from all hosts.
func (s State) load(w worker, now time.Time) int {
	others, asOf := s.others(w)
	if now.Sub(asOf) > othersLife {
		return w.own
	}
	return w.own + others
}

// others is how many requests other hosts have at a worker, and the time at
// which that held: the worker's own word or the sum of what hosts told,
// whichever is younger.
func (s State) others(w worker) (n int, asOf time.Time) {
	if w.saidAt.After(s.toldAsOf) {
		return w.saidOthers, w.saidAt
	}
	return s.told[w.tag], s.toldAsOf
}

// usable tells whether new work may be sent to the worker.
func (w worker) usable(now time.Time) bool { return w.sound(now) && !now.Before(w.fullUntil) }

// sound tells whether the worker is ready and in good health.
func (w worker) sound(now time.Time) bool {
	return w.State == registry.Ready && !w.replaced && w.health.Usable(now)
}

// possible tells whether work may be sent there where nothing better is left.
func (w worker) possible() bool {
	return !w.replaced && (w.State == registry.Ready || w.State == registry.Silent)
}

func (t *turn) use(id ident.Target, n int) {
	w, ok := t.workers.Get(id)
	if !ok {
		return
	}
	w.own = max(0, w.own+n)
	t.workers = t.workers.With(id, w)
}

// headReceived takes a worker's own word on its load: what exceeds this host's
// requests belongs to others.
func (t *turn) headReceived(ev HeadReceived) {
	t.learnHead(ev.Route, ev.Took)
	w, ok := t.workers.Get(ev.Worker)
	if !ok || ev.Load.Slots == 0 {
		return
	}
	w.saidOthers = max(0, ev.Load.Running+ev.Load.Waiting-w.own)
	w.saidAt = t.now
	t.workers = t.workers.With(ev.Worker, w)
	t.heardFrom(w.Zone)
}

// registered takes registrations that are newer than what is known.
func (t *turn) registered(ev Registered) {
	for _, r := range ev.Workers {
		have, known := t.workers.Get(r.ID)
		if known && !registry.Newer(r, have.Worker) {
			continue
		}
		if !known && r.State == registry.Gone {
			// Remembered, so that an older word from another replica does not
			// bring it in.
			have = worker{}
		}
		if r.State == registry.Gone && known {
			r.Pool, r.Address, r.Zone, r.Slots = have.Pool, have.Address, have.Zone, have.Slots
		}
		if !known || have.State != r.State {
			t.out = append(t.out, Believed{Worker: r, Usable: r.State == registry.Ready, Why: "registration, by " + string(ev.From)})
		}
		have.toldBy = ev.From
		have.Worker, have.key, have.tag = r, hash.Of(string(r.ID)), loads.TagOf(r.ID)
		t.workers = t.workers.With(r.ID, have)
	}
}
