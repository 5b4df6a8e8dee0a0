// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"time"

	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/table"
)

// What changes is told to the hosts that ask without waiting for their next question:
// at a bounded rate, together where much changes, and in a large fleet to hubs only.

// pushUpdates tells the hosts that sync with this replica of what has changed
// since the last tick. What is large goes out at a bounded rate, or heartbeats of
// the replicated log would wait behind it.
func (t *transition) pushUpdates() {
	t.seeded.bulkBytes = 0
	pushed := 0
	for _, id := range t.seeded.clients.KeysAfter(t.seeded.updatedLast) {
		c, _ := t.seeded.clients.Get(id)
		stale := c.table && c.version < t.heldConfig().Version && t.seeded.bulkBytes < bulkBytesPerTick
		news := c.revision < t.registry.Revision() && t.now.Sub(c.updatedAt) >= t.pushGap() && !t.hubsExpected()
		if t.now.Sub(c.lastPoll) <= clientLifetime && (stale || news) {
			t.replyTo(id, c, Poll{})
			t.seeded.updatedLast = id
			pushed++
		}
		if pushed == updatesPerTick {
			return
		}
	}
}

const (
	// pushGapPerClient for each host that asks, at most maxPushGap, is kept between two words
	// to a host on changes of registrations alone, so that those that come one by one
	// are told together: while a large fleet starts, some hundred come a second.
	pushGapPerClient = 5 * time.Millisecond
	maxPushGap       = 300 * time.Millisecond
)

// pushGap is the time kept between two words to a host on registrations.
func (t *transition) pushGap() time.Duration {
	return min(time.Duration(t.seeded.clients.Len())*pushGapPerClient, maxPushGap)
}

// hubsExpected tells whether this replica of a large fleet will soon name hubs: until
// then the registrations of thousands of workers would go to hundreds of hosts, which
// fills its link for longer than the fleet needs to start.
func (t *transition) hubsExpected() bool {
	return t.settings.IsReplica() && len(t.seeded.hub.list) == 0 && t.seeded.clients.Len() > t.hubsAbove() &&
		t.now.Sub(t.started) < hubWarmUp+hubListSettle
}

// updatesPerTick bounds the hosts that are told of changes in a tick. Where there are
// more, they take turns, so that many changes in a row are told together.
const updatesPerTick = 16

// bulkBytesPerTick bounds the bytes of tables and of many registrations that a
// replica sends in a tick.
const bulkBytesPerTick = 20 << 10

// batchSize is how many registrations travel together at most.
const batchSize = 128

// workerBatches are batches of registrations, which many hosts are sent, by the
// revision that they follow. They are made anew after a while, as they go on
// showing what has been forgotten since; one that is not full, with the next change.
type workerBatches struct {
	since time.Time
	bySeq table.Table[uint64, workerBatch]
}

// workerBatch is one of them, packed, and the revision that it leads to.
type workerBatch struct {
	record   []byte
	revision uint64
	full     bool
}

// batchLife is how long batches are used.
const batchLife = 2 * time.Second

// nextWorkers returns the registrations after a revision that may be sent now,
// and the revision that they lead to. A few go out at once; a full batch waits
// where much has been sent in this tick.
func (t *transition) nextWorkers(after uint64) (record []byte, revision uint64) {
	if t.now.Sub(t.seeded.batches.since) > batchLife {
		t.seeded.batches = workerBatches{since: t.now}
	}
	b, ok := t.seeded.batches.bySeq.Get(after)
	if !ok || !b.full && b.revision != t.registry.Revision() {
		workers, revision := t.registry.After(after, batchSize)
		b = workerBatch{record: registry.Pack(workers), revision: revision, full: len(workers) == batchSize}
		t.seeded.batches.bySeq = t.seeded.batches.bySeq.With(after, b)
	}
	if !b.full {
		return b.record, b.revision
	}
	return t.inBudget(b, after)
}

func (t *transition) inBudget(b workerBatch, after uint64) (record []byte, revision uint64) {
	if t.seeded.bulkBytes >= bulkBytesPerTick {
		return nil, after
	}
	t.seeded.bulkBytes += len(b.record)
	return b.record, b.revision
}
