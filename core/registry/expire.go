// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package registry

import (
	"time"

	"github.com/yardhall/yardhall/core/ident"
)

// This file decides when a worker that sends no heartbeats counts as silent, and when it is dropped.

const (
	// forgetGone is how long a gone worker is remembered, so that a late heartbeat does not register
	// it again.
	forgetGone = 5 * time.Minute
	// forgetSilent is the same for a silent worker.
	forgetSilent = time.Minute
)

// Expire marks the ready workers silent that were not seen for silentAfter, and drops those that ended too
// long ago. A worker that was draining stays so until it is dropped like one that is gone: hosts may try a
// silent one when there is no other.
func (r Registry) Expire(silentAfter time.Duration, now time.Time) (next Registry, changed bool) {
	r = r.Forget(now)
	for id, e := range r.workers.All() {
		w, age := e.worker(), now.Sub(e.lastSeen)
		switch {
		case w.State == Ready && age > silentAfter:
			w.State = Silent
			r = r.with(e, w, e.lastSeen)
			changed = true
		case w.State == Draining && age > forgetGone:
			r = r.without(id, e)
		}
	}
	return r, changed
}

// Forget drops the workers that ended too long ago.
func (r Registry) Forget(now time.Time) Registry {
	for id, e := range r.workers.All() {
		if e.over(now) {
			r = r.without(id, e)
		}
	}
	return r
}

// without drops a worker.
func (r Registry) without(id ident.Target, e entry) Registry {
	r.workers = r.workers.Without(id)
	r.ended -= e.endedCount()
	r.digest -= e.worker().digest()
	r.changes = r.changes.Without(e.revision)
	if holder, _ := r.owners.Get(e.worker().Address); holder == id {
		r.owners = r.owners.Without(e.worker().Address)
	}
	return r
}

// over reports whether the worker has been gone or silent for so long that it may be dropped.
func (e entry) over(now time.Time) bool {
	return Over(e.worker().State, now.Sub(e.lastSeen))
}

// Over reports whether a worker in a state that was last seen so long ago may be dropped.
func Over(s State, age time.Duration) bool {
	return s == Gone && age > forgetGone || s == Silent && age > forgetSilent
}
