// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"fmt"
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
)

const (
	// registryInterval is the time between two looks over all registrations. Chosen, not
	// measured.
	registryInterval = 500 * time.Millisecond
	// defaultWorkerSilence is how long a worker may be silent: five heartbeats of 1.2 s.
	defaultWorkerSilence = 6 * time.Second
)

// registerHeartbeat takes a worker's heartbeat on a replica and logs what is new in it.
func (t *transition) registerHeartbeat(w registry.Worker) {
	before, _ := t.registry.Get(w.ID)
	next, changed := t.registry.WithHeartbeat(w, t.now)
	t.registry = next
	if changed {
		t.log(LogWorkerRegistration, string(w.ID), fmt.Sprintf("pool=%s state=%s seq=%d at=%s cold=%s born=%s before=%s",
			w.Pool, w.State, w.Seq, w.Address, w.Cold, w.Born, before.Born))
	}
}

// deregister takes a worker out on a replica.
func (t *transition) deregister(id ident.Target, born registry.Incarnation) {
	next, changed := t.registry.WithGone(id, born, t.now)
	t.registry = next
	if changed {
		t.log(LogWorkerRegistration, string(id), fmt.Sprintf("state=gone born=%s", born))
	}
}

// A heartbeat names a worker to use where its fields can be used and its service is one of
// the route table's, which may not have arrived yet. Any other one changes nothing: the
// worker that is known under its id, or at its address, stays as it is. A worker whose
// service was taken out of the table stays known while it goes on sending heartbeats, as
// the service may come back.
//
// Inputs: the heartbeat, the pools of the table held, and what is known of the worker.

// invalidReason tells why a heartbeat names no worker to use; empty where it names one.
func (t *transition) invalidReason(w registry.Worker) string {
	if err := w.Check(); err != nil {
		return err.Error()
	}
	if !t.isPoolNamed(w) {
		return fmt.Sprintf("no service %.80q in route table %d", w.Pool, t.currentConfig().Version)
	}
	return ""
}

// isPoolNamed tells whether the route table names a worker's pool, or no table is held
// yet, or the worker is known with that pool.
func (t *transition) isPoolNamed(w registry.Worker) bool {
	table := t.currentConfig().Gateway
	if table.Number == 0 {
		return true
	}
	if have, known := t.registeredWorker(w.ID); known && have.Pool == w.Pool {
		return true
	}
	return slices.ContainsFunc(table.Pools, func(p config.Pool) bool { return p.ID == w.Pool })
}

// registeredWorker is a worker as a replica, or as an entry host, knows it.
func (t *transition) registeredWorker(id ident.Target) (registry.Worker, bool) {
	if t.settings.IsReplica() {
		return t.registry.Get(id)
	}
	return t.requests.Worker(id)
}

// heartbeatInvalid counts and logs a heartbeat that names no worker to use.
func (t *transition) heartbeatInvalid(id ident.Target, reason string) {
	t.counters.HeartbeatsInvalid++
	t.log(LogWorkerRegistration, fmt.Sprintf("%.80q", id), "heartbeat not taken: "+reason)
}

// tickRegistry looks over all registrations and clients now and then, on a replica: which
// workers are silent, and which hosts are hubs, fallback peers and relays.
func (t *transition) tickRegistry() {
	if t.now.Sub(t.seeded.lookedAt) < registryInterval {
		return
	}
	t.seeded.lookedAt = t.now
	silence := t.settings.WorkerTimeout
	if silence == 0 {
		silence = defaultWorkerSilence
	}
	t.registry, _ = t.registry.Expire(silence, t.now)
	t.forgetLeases()
	t.expireCrashes()
	hosts := t.liveEntryHosts()
	t.nameHubs(hosts)
	t.nameFallbackPeers(hosts)
	t.nameRelays(hosts)
}
