// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package departures holds the workers that have recently begun to leave, so that hosts learn of them
// ahead of all other registrations. A host that misses that a worker is new sends it nothing; one that
// misses that a worker leaves sends it requests, so a departure must not wait behind the registrations
// of a large fleet.
//
// # Usage
//
//	l = l.With(worker, departures.Reported, now)
//	workers, position := l.After(position, departures.Registered, limit)
//	l = l.Forget(now)
//
// A Record holds the departures that a replica keeps on its disk.
//
// Positions grow with each departure. A host reports the one up to which it knows all departures of a
// log, and is sent those after it.
package departures

import (
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/table"
)

// Lifetime is how long departures are held. After that a host learns of them with all other
// registrations, for which it has had this time.
const Lifetime = 15 * time.Second

// Source is how a process learned of a departure, the nearest first. Hosts that poll all replicas learn of
// Relayed ones from the replicas that registered them.
type Source uint8

const (
	// Registered departures were reported by the worker itself, or by a replica to its hub.
	Registered Source = iota
	// Relayed departures were reported by another replica.
	Relayed
)

// departure is a worker that leaves, as of when this process learned of it.
type departure struct {
	worker registry.Worker
	source Source
	since  time.Time
	// isShared is set once another replica is known to hold it.
	isShared bool
}

// Log holds recent departures in the order in which this process learned of them. It is immutable; the
// zero value is empty.
type Log struct {
	byPosition table.Table[uint64, departure]
	positions  table.Table[ident.Target, uint64]
	// newest is the last position, newestRegistered that of the last Registered departure.
	newest           uint64
	newestRegistered uint64
}

// IsLeaving reports whether a worker's registration belongs into a log.
func IsLeaving(w registry.Worker) bool {
	return w.State == registry.Draining || w.State == registry.Gone
}

// With returns the log with a worker that leaves. Other workers, and reports no newer than the known one,
// change nothing.
func (l Log) With(w registry.Worker, source Source, now time.Time) Log {
	if !IsLeaving(w) {
		return l
	}
	if at, known := l.positions.Get(w.ID); known {
		have, _ := l.byPosition.Get(at)
		isNewer, isNearer := registry.Newer(w, have.worker), source < have.source
		if !isNewer && !isNearer {
			return l
		}
		if !isNewer {
			w = have.worker
		}
		source = min(source, have.source)
		l.byPosition = l.byPosition.Without(at)
	}
	l.newest++
	if source == Registered {
		l.newestRegistered = l.newest
	}
	l.byPosition = l.byPosition.With(l.newest, departure{worker: w, source: source, since: now})
	l.positions = l.positions.With(w.ID, l.newest)
	return l
}

// After returns at most limit departures after a position, without Relayed ones unless upTo is Relayed,
// and the position up to which they are complete.
func (l Log) After(position uint64, upTo Source, limit int) ([]registry.Worker, uint64) {
	if position >= l.Newest(upTo) {
		return nil, max(position, l.newest)
	}
	var out []registry.Worker
	for at, d := range l.byPosition.From(position + 1) {
		if d.source > upTo {
			continue
		}
		out = append(out, d.worker)
		if len(out) == limit {
			return out, at
		}
	}
	return out, l.newest
}

// Newest returns the position of the last departure, without Relayed ones unless upTo is Relayed.
func (l Log) Newest(upTo Source) uint64 {
	if upTo == Registered {
		return l.newestRegistered
	}
	return l.newest
}

// Since returns the departures that this process has learned of after a time.
func (l Log) Since(after time.Time) []registry.Worker {
	var out []registry.Worker
	for _, d := range l.byPosition.All() {
		if d.since.After(after) {
			out = append(out, d.worker)
		}
	}
	return out
}

// WithShared returns the log after another replica has reported a departure that it holds.
func (l Log) WithShared(w registry.Worker) Log {
	at, known := l.positions.Get(w.ID)
	have, _ := l.byPosition.Get(at)
	if !known || have.isShared || registry.Newer(have.worker, w) {
		return l
	}
	have.isShared = true
	l.byPosition = l.byPosition.With(at, have)
	return l
}

// IsUnshared reports whether a worker has registered a departure here that no other replica is known to hold.
func (l Log) IsUnshared(id ident.Target) bool {
	at, known := l.positions.Get(id)
	d, _ := l.byPosition.Get(at)
	return known && d.source == Registered && !d.isShared
}

// Len returns the number of departures held.
func (l Log) Len() int { return l.byPosition.Len() }

// Forget returns the log without the departures that are older than Lifetime.
func (l Log) Forget(now time.Time) Log { return l.forgetOlder(Lifetime, now) }

// forgetOlder returns the log without the departures that this process learned of longer ago than an age.
func (l Log) forgetOlder(age time.Duration, now time.Time) Log {
	for {
		_, first, ok := l.byPosition.First()
		if !ok || now.Sub(first.since) <= age {
			return l
		}
		l = l.withoutOldest()
	}
}

// withoutOldest returns the log without its first departure.
func (l Log) withoutOldest() Log {
	at, first, ok := l.byPosition.First()
	if !ok {
		return l
	}
	l.byPosition = l.byPosition.Without(at)
	if newest, _ := l.positions.Get(first.worker.ID); newest == at {
		l.positions = l.positions.Without(first.worker.ID)
	}
	return l
}
