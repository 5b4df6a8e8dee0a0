// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"fmt"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
)

// registerHeartbeat takes a worker's heartbeat and tells of it where it says something new.
func (t *transition) registerHeartbeat(w registry.Worker) {
	next, changed := t.registry.WithHeartbeat(w, t.now)
	t.registry = next
	if changed {
		t.note(NoteWorker, string(w.ID), fmt.Sprintf("pool=%s state=%s seq=%d at=%s", w.Pool, w.State, w.Seq, w.Address))
	}
}

func (t *transition) deregister(id ident.Target) {
	next, changed := t.registry.WithGone(id, t.now)
	t.registry = next
	if changed {
		t.note(NoteWorker, string(id), "state=gone")
	}
}
