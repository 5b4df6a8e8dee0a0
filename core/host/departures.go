// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/departures"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// Workers that begin to leave are reported apart from all other registrations and ahead of them: from the
// replica that acknowledges it to hubs, and from there to hosts, also to those that want no other
// registrations for now. Replicas tell each other with the messages of the replicated log, so that hosts
// which poll only some of them, as while all hubs are lost, learn of each departure from any of them.
//
// A worker's report is answered once it is on the disk of this replica and, as it repeats it, on that of
// another one: see persisteddepartures.go.
const (
	// departureInterval is the time between two updates of departures to a client, which batches those of a
	// release.
	departureInterval = 150 * time.Millisecond
	// relayedFor is how long a replica includes a departure in its messages to other replicas: several
	// heartbeats of the log, as a message may be lost.
	relayedFor = time.Second
	// shareSupportLifetime is how long after a message of a replica that repeats departures such messages
	// are expected.
	shareSupportLifetime = time.Second
)

// departureState is what a replica or a hub holds of departures. Its slice is never modified in place.
type departureState struct {
	log departures.Log
	// record holds the departures that are kept on disk; only on replicas.
	record departures.Record
	// forReplicas are the packed departures that accompany the messages of the replicated log.
	forReplicas []byte
	// repeatedAt is when a replica that repeats departures last sent a message.
	repeatedAt time.Time
	// batch is the batch that was packed last, as most clients lack the same departures.
	batch departureBatch
}

// departureBatch is a packed batch of departures after a position, and the position after it.
type departureBatch struct {
	after    uint64
	upTo     departures.Source
	newest   uint64
	position uint64
	packed   []byte
}

// recordDeparture adds a worker to the departures that this host reports if it is leaving.
func (t *transition) recordDeparture(w registry.Worker, source departures.Source) {
	t.seeded.departures.log = t.seeded.departures.log.With(w, source, t.now)
	t.persistDeparture(w)
}

// departureSource returns which departures a client is sent: one that polls all replicas is sent Relayed
// ones by the replicas that registered them.
func (c client) departureSource() departures.Source {
	if c.allDepartures {
		return departures.Relayed
	}
	return departures.Registered
}

// departuresDue reports whether to send a client departures.
func (t *transition) departuresDue(c client) bool {
	return c.knowsDepartures && c.departures.sent < t.seeded.departures.log.Newest(c.departureSource()) &&
		t.now.Sub(c.departuresAt) >= departureInterval
}

// withDepartures adds to a reply the departures that the client lacks, and returns the client that has
// been sent them.
func (t *transition) withDepartures(r PollReply, c client) (PollReply, client) {
	if !c.knowsDepartures {
		return r, c
	}
	b := t.nextDepartures(c.departures.sent, c.departureSource())
	r.KnowsDepartures, r.Departures, r.DeparturesSince, r.DeparturesUpTo = true, b.packed, c.departures.sent, b.position
	r.NewestDeparture = t.seeded.departures.log.Newest(c.departureSource())
	if len(b.packed) > 0 {
		c.departuresAt = t.now
	}
	c.departures = c.departures.withSent(b.position, t.now)
	return r, c
}

// nextDepartures returns the next batch of departures after a position.
func (t *transition) nextDepartures(after uint64, upTo departures.Source) departureBatch {
	d := &t.seeded.departures
	newest := d.log.Newest(departures.Relayed)
	if b := d.batch; b.after == after && b.upTo == upTo && b.newest == newest {
		return b
	}
	workers, position := d.log.After(after, upTo, batchSize)
	d.batch = departureBatch{after: after, upTo: upTo, newest: newest, position: position, packed: registry.Pack(workers)}
	return d.batch
}

// withDepartureFields adds to a poll up to where this host knows the receiver's departures. It wants those of
// all replicas from the leader, and from any replica while it polls only some.
func (t *transition) withDepartureFields(m Poll, to ident.Host) Poll {
	c, known := t.seeded.contacts.Get(to)
	all := to == t.seeded.leaderContact || !t.isHub() && t.seeded.hosts > t.hubThreshold()
	if all && !c.allDepartures {
		c.departures = 0
	}
	if known && all != c.allDepartures {
		c.allDepartures = all
		t.seeded.contacts = t.seeded.contacts.With(to, c)
	}
	m.KnowsDepartures, m.Departures, m.AllDepartures = true, c.departures, all
	return m
}

// applyDepartures stores the departures in a reply; a hub reports them to its clients.
func (t *transition) applyDepartures(from ident.Host, m PollReply) {
	workers := t.unpackWorkers(from, m.Departures)
	if len(workers) == 0 {
		return
	}
	t.reduceRequests(requests.Registered{From: from, Workers: workers})
	if !t.seeded.hub.replies {
		return
	}
	for _, w := range workers {
		t.registry = t.registry.WithReport(w, t.now)
		t.recordDeparture(w, departures.Registered)
	}
}

// hasAllDepartures reports whether this host has received, with a reply and those before it, all departures
// that the sender knows. Earlier versions report them with all other registrations.
func (t *transition) hasAllDepartures(from ident.Host, m PollReply) bool {
	c, _ := t.seeded.contacts.Get(from)
	if !m.KnowsDepartures {
		return c.epoch == m.Epoch && c.revision >= m.NewestRevision
	}
	return c.epoch == m.Epoch && c.departures >= m.NewestDeparture
}

// applyRelayedDepartures stores the departures that accompany another replica's message.
func (t *transition) applyRelayedDepartures(m Raft) {
	d := &t.seeded.departures
	if m.KnowsDepartures {
		d.repeatedAt = t.now
	}
	for _, w := range t.unpackWorkers(m.From.Address(), m.Departures) {
		t.recordDeparture(w, departures.Relayed)
		wasUnshared := d.log.IsUnshared(w.ID)
		d.log = d.log.WithShared(w)
		if wasUnshared && !d.log.IsUnshared(w.ID) {
			t.emit(DepartureProgressed{Worker: w.ID})
		}
	}
}

// tickDepartures drops old departures and packs the recent ones that are on disk for other replicas. All are
// repeated: only the leader exchanges messages with all replicas, and each learns from it that its own have
// arrived.
func (t *transition) tickDepartures() {
	d := &t.seeded.departures
	d.log = d.log.Forget(t.now)
	d.record = d.record.Forget(t.now)
	d.forReplicas = nil
	if d.log.Len() == 0 || !t.settings.IsReplica() {
		return
	}
	recent := slices.DeleteFunc(d.log.Since(t.now.Add(-relayedFor)), func(w registry.Worker) bool {
		return !d.record.IsPersisted(w.ID)
	})
	d.forReplicas = registry.Pack(recent)
}
