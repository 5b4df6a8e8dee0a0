// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import "github.com/yardhall/yardhall/core/raft"

// drain begins a planned stop: other hosts take over what this one owns, and another replica leads.
func (t *transition) drain() {
	if t.draining {
		return
	}
	t.draining = true
	t.note(LogDraining, string(t.settings.ID), "")
	if !t.settings.Seeded() {
		t.sendHeartbeats()
		t.updateOwners()
	}
	t.stepRaft(raft.HandOver{})
}
