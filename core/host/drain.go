// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import "github.com/yardhall/yardhall/core/raft"

// startDrain starts a graceful shutdown: other hosts take over the groups of this one, and another
// replica the leadership.
func (t *transition) startDrain() {
	if t.draining {
		return
	}
	t.draining = true
	t.log(LogDraining, string(t.settings.ID), "")
	if !t.settings.Seeded() {
		t.sendHeartbeats()
		t.updateOwners()
	}
	t.stepRaft(raft.HandOver{})
}
