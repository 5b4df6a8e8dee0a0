// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"fmt"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
)

// beaten takes a worker's heartbeat and tells of it where it says something new.
func (t *turn) beaten(w registry.Worker) {
	next, changed := t.registry.WithBeat(w, t.now)
	t.registry = next
	if changed {
		t.note(NoteWorker, string(w.ID), fmt.Sprintf("pool=%s state=%s seq=%d at=%s", w.Pool, w.State, w.Seq, w.Address))
	}
}

func (t *turn) left(id ident.Target) {
	next, changed := t.registry.WithGone(id, t.now)
	t.registry = next
	if changed {
		t.note(NoteWorker, string(id), "state=gone")
	}
}
