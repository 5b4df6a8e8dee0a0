// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"fmt"
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/departures"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
)

const (
	// registryScanInterval is the time between two scans of all registrations.
	registryScanInterval = 500 * time.Millisecond
	// defaultWorkerTimeout is how long a worker may be silent: five heartbeats at 1.2 s.
	defaultWorkerTimeout = 6 * time.Second
)

// makeRoom makes room in the registry for a worker and reports whether there is any. It counts and
// logs the workers that it drops or turns away.
func (t *transition) makeRoom(id ident.Target) bool {
	next, dropped, ok := t.registry.WithRoom(id)
	t.registry = next
	if dropped > 0 || !ok {
		t.counters.RegistrationsDropped += uint64(max(1, dropped))
		t.log(LogWorkerRegistration, string(id), fmt.Sprintf("registry full: workers=%d dropped=%d accepted=%t", next.Len(), dropped, ok))
	}
	return ok
}

// registerHeartbeat registers a worker's heartbeat on a replica and logs a change of the
// registration. relayed is set if a relay reports the heartbeat.
func (t *transition) registerHeartbeat(w registry.Worker, relayed bool) {
	t.recallDeparture(w.ID)
	before, known := t.registry.Get(w.ID)
	register := t.registry.WithHeartbeat
	if relayed {
		register = t.registry.WithRelayedHeartbeat
	}
	next, changed := register(w, t.now)
	t.registry = next
	if changed {
		t.recordDeparture(w, departures.Registered)
		t.logRegistration(w, fmt.Sprintf("pool=%s state=%s seq=%d at=%s cold=%s born=%s before=%s known=%t up=%s",
			w.Pool, w.State, w.Seq, w.Address, w.Cold, w.Born, before.Born, known, t.now.Sub(t.started).Round(time.Millisecond)))
	}
}

// logRegistration logs what this host knows of a worker now.
func (t *transition) logRegistration(w registry.Worker, detail string) {
	t.emit(LogRecord{Kind: LogWorkerRegistration, Object: string(w.ID), Detail: detail, Leaving: departures.IsLeaving(w)})
}

// deregister marks a worker as gone on a replica.
func (t *transition) deregister(id ident.Target, born registry.Incarnation) {
	t.recallDeparture(id)
	next, changed := t.registry.WithGone(id, born, t.now)
	t.registry = next
	if changed {
		gone, _ := next.Get(id)
		t.recordDeparture(gone, departures.Registered)
		t.logRegistration(gone, fmt.Sprintf("state=gone born=%s", born))
	}
}

// A heartbeat is valid if its fields are and if the route table names its pool. An invalid one
// changes nothing: the worker registered under its ID or address stays as it is. Heartbeats are
// also accepted while no table has arrived yet, and from workers registered with a pool that
// was since removed from the table, because it may be added again.

// invalidReason returns why a heartbeat is invalid, or "".
func (t *transition) invalidReason(w registry.Worker) string {
	if err := w.Check(); err != nil {
		return err.Error()
	}
	if !t.isPoolKnown(w) {
		return fmt.Sprintf("no service %.80q in route table %d", w.Pool, t.currentConfig().Version)
	}
	return ""
}

// isPoolKnown reports whether the route table names a worker's pool, no table is held yet, or
// the worker is registered with that pool.
func (t *transition) isPoolKnown(w registry.Worker) bool {
	table := t.currentConfig().Gateway
	if table.Number == 0 {
		return true
	}
	if registered, known := t.registeredWorker(w.ID); known && registered.Pool == w.Pool {
		return true
	}
	return slices.ContainsFunc(table.Pools, func(p config.Pool) bool { return p.ID == w.Pool })
}

// registeredWorker returns a worker as registered on a replica, or as known to an entry host.
func (t *transition) registeredWorker(id ident.Target) (registry.Worker, bool) {
	if t.settings.IsReplica() {
		return t.registry.Get(id)
	}
	return t.requests.Worker(id)
}

// rejectHeartbeat counts and logs an invalid heartbeat.
func (t *transition) rejectHeartbeat(id ident.Target, reason string) {
	t.counters.HeartbeatsInvalid++
	t.log(LogWorkerRegistration, fmt.Sprintf("%.80q", id), "heartbeat rejected: "+reason)
}

// tickRegistry scans all registrations and clients, on a replica. It expires silent workers and
// selects hubs, fallback peers and relays.
func (t *transition) tickRegistry() {
	if t.now.Sub(t.seeded.registryScannedAt) < registryScanInterval {
		return
	}
	t.seeded.registryScannedAt = t.now
	timeout := t.settings.WorkerTimeout
	if timeout == 0 {
		timeout = defaultWorkerTimeout
	}
	t.registry, _ = t.registry.Expire(timeout, t.now)
	t.expireLeases()
	t.expireCrashes()
	hosts := t.liveEntryHosts()
	t.selectHubs(hosts)
	t.selectFallbackPeers(hosts)
	t.selectRelays(hosts)
}
