// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package registry

import (
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/ident"
)

// An id names a worker, and a Life one process of it. A process that ends leaves what is known of it behind
// until its successor's first heartbeat arrives, so what a registration says holds for the time in which the
// process is known to have run, and no longer.
//
// A heartbeat may arrive late, also after its process has ended. That the process still ran when one arrived is shown
// by a later one that was sent since: a worker sends the next one once the one before was answered, or has timed out.
// One that timed out may wait at a registry that stands still, together with its successors, so the later one
// must have arrived by more than the time that heartbeats take to a registry that does not. Not covered: registries that
// stand still for longer than relayedDelay and receive reports of relays.
const (
	// directDelay and relayedDelay are how long heartbeats take to arrive: one retransmission over TCP. Relays report the newest one of each worker
	// every 1.5 s, in their next poll of a hub or replica, and hubs pass it on in theirs.
	directDelay  = 250 * time.Millisecond
	relayedDelay = 2500 * time.Millisecond
	// maxArrivals is the number of arrivals that are kept: as many as a relay reports within relayedDelay, and one
	// before and after.
	maxArrivals = 4
)

// Arrival is the arrival of a heartbeat at a registry.
type Arrival struct {
	Seq uint64
	At  time.Time
	// Relayed is set if a relay reported it.
	Relayed bool
}

// Life is the span in which one process of a worker is known to have run. It is immutable; the zero value is
// that of no process.
type Life struct {
	Worker  ident.Target
	Born    Incarnation
	Version ident.Version
	// From is when its first heartbeat arrived.
	From time.Time
	// arrivals are the newest ones, by falling sequence number.
	arrivals [maxArrivals]Arrival
	// answeredAt is the latest time at which a request was sent that the process answered.
	answeredAt time.Time
}

// WithAnswer returns the life of a process that has answered a request which was sent at a time.
func (l Life) WithAnswer(sentAt time.Time) Life {
	if sentAt.After(l.answeredAt) {
		l.answeredAt = sentAt
	}
	return l
}

// lifeOf returns the life of the process that a heartbeat is the first of.
func lifeOf(w Worker, a Arrival) Life {
	return Life{Worker: w.ID, Born: w.Born, Version: w.Version, From: a.At}.WithArrival(a)
}

// WithArrival returns the life with one more heartbeat of the process. Of two times of one heartbeat the later counts,
// as a copy of it may have waited at another registry.
func (l Life) WithArrival(a Arrival) Life {
	for i, known := range l.arrivals {
		if a.Seq == known.Seq && !known.At.IsZero() {
			if a.At.After(known.At) {
				l.arrivals[i].At = a.At
			}
			l.arrivals[i].Relayed = known.Relayed || a.Relayed
			return l
		}
		if a.Seq > known.Seq || known.At.IsZero() {
			copy(l.arrivals[i+1:], l.arrivals[i:])
			l.arrivals[i] = a
			return l
		}
	}
	return l
}

// Arrivals returns the newest arrivals, by falling sequence number.
func (l Life) Arrivals() []Arrival {
	var out []Arrival
	for _, a := range l.arrivals {
		if !a.At.IsZero() {
			out = append(out, a)
		}
	}
	return out
}

// Merge returns what two registries know of the same process together.
func (l Life) Merge(other Life) Life {
	if l.From.IsZero() || other.From.Before(l.From) {
		l.From = other.From
	}
	for _, a := range other.Arrivals() {
		l = l.WithArrival(a)
	}
	return l.WithAnswer(other.answeredAt)
}

// Until returns the latest time at which the process is known to have run; zero if its heartbeats may all be late.
func (l Life) Until() time.Time {
	until := l.answeredAt
	for i, a := range l.arrivals {
		if a.At.After(until) && slices.ContainsFunc(l.arrivals[:i], a.isShownBy) {
			until = a.At
		}
	}
	return until
}

// isShownBy reports whether a later heartbeat shows that the process still ran at an arrival.
func (a Arrival) isShownBy(later Arrival) bool {
	delay := directDelay
	if a.Relayed || later.Relayed {
		delay = relayedDelay
	}
	return later.At.Sub(a.At) > delay
}

// RanAt reports whether the process is known to have run at a time.
func (l Life) RanAt(at time.Time) bool { return !at.Before(l.From) && !at.After(l.Until()) }

// LivesOf returns the lives of a worker's present process and the one before it, as far as this registry has received
// their heartbeats.
func (r Registry) LivesOf(id ident.Target) []Life {
	e, _ := r.workers.Get(id)
	var out []Life
	for _, l := range []Life{e.life, e.previousLife} {
		if l.Born != 0 {
			out = append(out, l)
		}
	}
	return out
}

// withLife returns the entry with a heartbeat of its process. The starts of processes that are known as an incarnation
// just after another one (claim) differ from registry to registry, so such a process has no life.
func (e entry) withLife(w Worker, now time.Time, relayed bool) entry {
	if e.claim.accepted != 0 {
		e.life, e.previousLife = Life{}, Life{}
		return e
	}
	a := Arrival{Seq: w.Seq, At: now, Relayed: relayed}
	if e.life.Worker == "" || e.life.Born != w.Born || e.life.Version != w.Version {
		e.previousLife, e.life = e.life, lifeOf(w, a)
	} else {
		e.life = e.life.WithArrival(a)
	}
	return e
}
