// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"time"

	"github.com/yardhall/yardhall/core/hubs"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/table"
)

// What changes is sent to the clients without waiting for their next poll: at a bounded
// rate, many changes together, and in a large fleet to hubs only. What is large waits, or
// heartbeats of the replicated log would wait behind it.
//
// Inputs: what each client has, when it was sent something, how much was sent in this tick.
const (
	// updatesPerTick bounds the clients that are sent updates in a tick. Where there are
	// more, they take turns, so that many changes in a row are sent together. Chosen, not
	// measured.
	updatesPerTick = 16
	// bulkBytesPerTick bounds the bytes of tables and of many registrations in a tick:
	// at 20 ticks a second 400 kB/s, half of a link of 6 Mbit/s.
	bulkBytesPerTick = 20 << 10
	// updateGapPerClient for each client, at most maxUpdateGap, is kept between two
	// updates of registrations alone to a client: while a large fleet starts, some
	// hundred registrations come a second, and are sent together. Chosen, not measured.
	updateGapPerClient = 5 * time.Millisecond
	maxUpdateGap       = 300 * time.Millisecond
	// batchSize is how many registrations travel together at most. Chosen, not measured.
	batchSize = 128
	// batchLifetime is how long packed batches are used. Chosen, not measured.
	batchLifetime = 2 * time.Second
)

// pushUpdates sends clients what has changed.
func (t *transition) pushUpdates() {
	t.seeded.bulkBytes = 0
	sent := 0
	for _, id := range t.seeded.clients.KeysAfter(t.seeded.lastUpdated) {
		c, _ := t.seeded.clients.Get(id)
		if c.live(t.now) && (t.tableDue(c) || t.registrationsDue(c) || t.crashListDue(c) || t.zonesDue(c)) {
			t.replyTo(id, c, Poll{})
			t.seeded.lastUpdated = id
			sent++
		}
		if sent == updatesPerTick {
			return
		}
	}
}

// tableDue tells whether a client is to be sent a newer table now.
func (t *transition) tableDue(c client) bool {
	return c.table && c.version < t.heldConfig().Version && t.seeded.bulkBytes < bulkBytesPerTick
}

// registrationsDue tells whether a client is to be sent registrations now.
func (t *transition) registrationsDue(c client) bool {
	return c.revision < t.registry.Revision() && t.now.Sub(c.updatedAt) >= t.updateGap() && !t.hubsExpected()
}

// crashListDue tells whether a client is to be sent another list of crashes now.
func (t *transition) crashListDue(c client) bool { return c.crashList != t.requests.CrashList().Key }

// updateGap is the time kept between two updates of registrations to a client.
func (t *transition) updateGap() time.Duration {
	return min(time.Duration(t.seeded.clients.Len())*updateGapPerClient, maxUpdateGap)
}

// hubsExpected tells whether this replica of a large fleet will soon name hubs: until then
// the registrations of thousands of workers would go to hundreds of hosts, which fills its
// link for longer than the fleet needs to start.
func (t *transition) hubsExpected() bool {
	return t.settings.IsReplica() && t.seeded.hub.list.Len() == 0 && t.seeded.clients.Len() > t.hubThreshold() &&
		t.now.Sub(t.started) < hubWarmUp+hubs.SettleTime
}

// workerBatches are packed batches of registrations, which many clients are sent, by the
// revision that they follow. They are made anew after batchLifetime, as they go on showing
// what has been forgotten since; one that is not full, with the next change.
type workerBatches struct {
	since      time.Time
	byRevision table.Table[uint64, workerBatch]
}

// workerBatch is one of them, and the revision that it leads to.
type workerBatch struct {
	record   []byte
	revision uint64
	full     bool
}

// nextWorkers returns the registrations after a revision that may be sent now, and the
// revision that they lead to. A few go out at once; a full batch waits where much has been
// sent in this tick.
func (t *transition) nextWorkers(after uint64) (record []byte, revision uint64) {
	if t.now.Sub(t.seeded.batches.since) > batchLifetime {
		t.seeded.batches = workerBatches{since: t.now}
	}
	b, ok := t.seeded.batches.byRevision.Get(after)
	if !ok || !b.full && b.revision != t.registry.Revision() {
		workers, revision := t.registry.After(after, batchSize, t.now)
		b = workerBatch{record: registry.Pack(workers), revision: revision, full: len(workers) == batchSize}
		t.seeded.batches.byRevision = t.seeded.batches.byRevision.With(after, b)
	}
	if !b.full {
		return b.record, b.revision
	}
	if t.seeded.bulkBytes >= bulkBytesPerTick {
		return nil, after
	}
	t.seeded.bulkBytes += len(b.record)
	return b.record, b.revision
}
