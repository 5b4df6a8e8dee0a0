// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"fmt"
	"time"

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
	next, changed := t.registry.WithHeartbeat(w, t.now)
	t.registry = next
	if changed {
		t.note(NoteWorker, string(w.ID), fmt.Sprintf("pool=%s state=%s seq=%d at=%s", w.Pool, w.State, w.Seq, w.Address))
	}
}

// deregister takes a worker out on a replica.
func (t *transition) deregister(id ident.Target) {
	next, changed := t.registry.WithGone(id, t.now)
	t.registry = next
	if changed {
		t.note(NoteWorker, string(id), "state=gone")
	}
}

// tickRegistry looks over all registrations and clients now and then, on a replica: which
// workers are silent, and which hosts are hubs, fallback peers and relays.
func (t *transition) tickRegistry() {
	if t.now.Sub(t.seeded.lookedAt) < registryInterval {
		return
	}
	t.seeded.lookedAt = t.now
	silence := t.settings.SilentAfter
	if silence == 0 {
		silence = defaultWorkerSilence
	}
	t.registry, _ = t.registry.Expire(silence, t.now)
	t.forgetLeases()
	hosts := t.liveEntryHosts()
	t.nameHubs(hosts)
	t.nameFallbackPeers(hosts)
	t.nameRelays(hosts)
}
