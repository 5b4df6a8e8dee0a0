// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"time"

	"github.com/yardhall/yardhall/core/hubs"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/table"
)

// Changes are sent to clients without waiting for their next poll: rate-limited, batched, and in a
// large fleet to hubs only. Large updates are limited further, as they would delay the heartbeats
// of the replicated log.
const (
	// maxUpdatesPerTick bounds the clients updated in a tick. If there are more, they take turns,
	// which also batches successive changes.
	maxUpdatesPerTick = 16
	// updateIntervalPerClient times the number of clients, at most maxUpdateInterval, is the
	// minimum time between two registration updates to a client. It batches the registrations of a
	// large fleet that starts.
	updateIntervalPerClient = 5 * time.Millisecond
	maxUpdateInterval       = 300 * time.Millisecond
	// batchSize bounds the registrations in a batch.
	batchSize = 128
	// batchLifetime is how long packed batches are reused.
	batchLifetime = 2 * time.Second
)

// pushUpdates sends changes to the clients that lack them.
func (t *transition) pushUpdates() {
	t.seeded.bulk.sent = 0
	sent := 0
	for _, id := range t.seeded.clients.KeysAfter(t.seeded.lastUpdated) {
		c, _ := t.seeded.clients.Get(id)
		if c.isLive(t.now) && (t.tableDue(c) || t.departuresDue(c) || t.registrationsDue(c) || t.crashListDue(c) || t.zonesDue(c) || t.rolloutsDue(c)) {
			t.sendReply(id, c, Poll{})
			t.seeded.lastUpdated = id
			sent++
		}
		if sent == maxUpdatesPerTick {
			return
		}
	}
}

// tableDue reports whether to send a client a newer route table.
func (t *transition) tableDue(c client) bool {
	return c.receivesTable && c.version < t.currentConfig().Version && t.seeded.bulk.hasRoom()
}

// registrationsDue reports whether to send a client registrations.
func (t *transition) registrationsDue(c client) bool {
	return !c.skipsWorkers && !c.awaitsFullBatch() && c.registrations.sent < t.registry.Revision() && t.now.Sub(c.updatedAt) >= t.updateInterval() && !t.hubsExpected()
}

// crashListDue reports whether to send a client the crash list.
func (t *transition) crashListDue(c client) bool {
	return c.crashListSent.isDue(t.requests.CrashList().Key, c.crashList, t.now)
}

// updateInterval returns the minimum time between two registration updates to a client.
func (t *transition) updateInterval() time.Duration {
	return min(time.Duration(t.seeded.clients.Len())*updateIntervalPerClient, maxUpdateInterval)
}

// hubsExpected reports whether this replica of a large fleet is about to assign hubs. Until then it
// sends no registrations: those of thousands of workers to hundreds of hosts would saturate its
// link for longer than the fleet needs to start.
func (t *transition) hubsExpected() bool {
	return t.settings.IsReplica() && t.seeded.hub.list.Len() == 0 && t.seeded.clients.Len() > t.hubThreshold() &&
		t.now.Sub(t.started) < hubWarmUp+hubs.SettleTime
}

// workerBatches caches packed batches of registrations, which many clients receive, by the revision
// that they follow. The cache is cleared after batchLifetime, as batches may contain workers
// removed since; a batch that is not full is replaced with the next change.
type workerBatches struct {
	startedAt  time.Time
	byRevision table.Table[uint64, workerBatch]
}

// workerBatch is a packed batch and the last revision it contains.
type workerBatch struct {
	packed   []byte
	revision uint64
	full     bool
}

// nextWorkers returns the registrations after a revision that may be sent now, and the last
// revision they contain. A full batch waits if the tick's limit of bulk bytes is used up.
func (t *transition) nextWorkers(after uint64) workerBatch {
	if t.now.Sub(t.seeded.batches.startedAt) > batchLifetime {
		t.seeded.batches = workerBatches{startedAt: t.now}
	}
	b, ok := t.seeded.batches.byRevision.Get(after)
	if !ok || !b.full && b.revision != t.registry.Revision() {
		workers, revision := t.registry.After(after, batchSize, t.now)
		b = workerBatch{packed: registry.Pack(workers), revision: revision, full: len(workers) == batchSize}
		t.seeded.batches.byRevision = t.seeded.batches.byRevision.With(after, b)
	}
	if !b.full {
		return b
	}
	if !t.seeded.bulk.hasRoom() {
		return workerBatch{revision: after}
	}
	t.seeded.bulk.sent += len(b.packed)
	return b
}
