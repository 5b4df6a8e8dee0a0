// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"time"

	"github.com/yardhall/yardhall/core/departures"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
)

// Registrations are soft state, rebuilt from heartbeats; that a worker leaves is not, as it sends no more of
// them. A replica therefore keeps departures on its disk for as long as it remembers workers that are gone,
// and one that starts reports them to hosts again: a heartbeat that was sent before a departure must not
// register the worker anew, whichever processes have ended meanwhile.
//
// A departure is acknowledged once it is on the disk of the replica that answers. If other replicas repeat
// departures, the answer also waits for one of them, which repeats only what is on its own disk: then the loss
// of one disk loses no departure. Without a leader there is none to wait for for long, and the answer follows
// after MaxShareTime, as hosts are sent the departure anyway.

const (
	// MaxShareTime is how long the answer to a worker that leaves waits for another replica: two heartbeats
	// of the log, and less than half of the time that workers wait for an answer.
	MaxShareTime = 400 * time.Millisecond
	// MaxPersistTime is how long it waits for the disk. Then the worker is declined in time to report to
	// another replica.
	MaxPersistTime = 800 * time.Millisecond
)

// DepartureStatus is how far the departure of a worker is secured. The set is closed.
type DepartureStatus interface{ departureStatus() }

type (
	// DepartureSecured departures can be acknowledged, as can heartbeats of workers that do not leave.
	DepartureSecured struct{}
	// DepartureUnshared departures are not known to be on the disk of another replica.
	DepartureUnshared struct{}
	// DepartureUnpersisted departures are not on the disk of this replica.
	DepartureUnpersisted struct{}
)

func (DepartureSecured) departureStatus()     {}
func (DepartureUnshared) departureStatus()    {}
func (DepartureUnpersisted) departureStatus() {}

// DepartureStatus returns how far the departure of a worker is secured, on a replica.
func (s State) DepartureStatus(id ident.Target, now time.Time) DepartureStatus {
	d := s.seeded.departures
	_, leaves := d.record.Get(id)
	switch {
	case leaves && !d.record.IsPersisted(id):
		return DepartureUnpersisted{}
	case now.Sub(d.repeatedAt) <= shareSupportLifetime && d.log.IsUnshared(id):
		return DepartureUnshared{}
	}
	return DepartureSecured{}
}

// persistDeparture keeps a worker's departure on the disk of a replica, and drops that of one that is ready
// again.
func (t *transition) persistDeparture(w registry.Worker) {
	if !t.settings.IsReplica() {
		return
	}
	d := &t.seeded.departures
	before := d.record.Position()
	if departures.IsLeaving(w) {
		d.record = d.record.With(w, t.now)
	} else {
		d.record = d.record.Without(w.ID)
	}
	if d.record.Position() != before {
		t.emit(PersistDepartures{Record: d.record})
	}
}

// handleDeparturesPersisted lets the answers go on that wait for the disk.
func (t *transition) handleDeparturesPersisted(position uint64) {
	d := &t.seeded.departures
	before := d.record
	d.record = before.WithPersisted(position)
	for _, e := range before.Unpersisted() {
		if d.record.IsPersisted(e.Worker.ID) {
			t.emit(DepartureProgressed{Worker: e.Worker.ID})
		}
	}
}

// recallDeparture registers a worker as leaving that this replica knows only from the record: from before its
// start, or from another replica.
func (t *transition) recallDeparture(id ident.Target) {
	w, leaves := t.seeded.departures.record.Get(id)
	if _, known := t.registry.Get(id); leaves && !known {
		t.registry = t.registry.WithReport(w, t.now)
	}
}

// WithDepartures returns the state with the departures read from disk. Hosts are sent them again.
func (s State) WithDepartures(entries []departures.Entry, now time.Time) State {
	t := transition{State: s, now: now}
	d := &t.seeded.departures
	for _, e := range entries {
		if now.Sub(e.Since) > departures.Retention {
			continue
		}
		d.record = d.record.With(e.Worker, e.Since)
		d.log = d.log.With(e.Worker, departures.Registered, now).WithShared(e.Worker)
		t.registry = t.registry.WithReport(e.Worker, now)
	}
	d.record = d.record.WithPersisted(d.record.Position())
	return t.State
}
