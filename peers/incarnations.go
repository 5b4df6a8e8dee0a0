// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package peers

import (
	"sync"

	"github.com/yardhall/yardhall/core/ident"
)

// IncarnationTracker holds the latest known incarnation of each other host. A connection to an earlier
// incarnation is dead, but a host that lost power does not close it. The zero value is empty.
type IncarnationTracker struct {
	mu     sync.Mutex
	byHost map[ident.Host]uint64
}

// advance records the incarnation of a host that has connected, if it is later than the known one.
func (t *IncarnationTracker) advance(from ident.Host, incarnation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byHost == nil {
		t.byHost = map[ident.Host]uint64{}
	}
	if incarnation > t.byHost[from] {
		t.byHost[from] = incarnation
	}
}

// set records the incarnation that has just responded to a call, even if it is earlier than the
// known one: incarnations come from the host's clock, which may have been set back.
func (t *IncarnationTracker) set(of ident.Host, incarnation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byHost == nil {
		t.byHost = map[ident.Host]uint64{}
	}
	t.byHost[of] = incarnation
}

// isSuperseded reports whether a later incarnation of the host is known. An incarnation of 0 is
// unknown and never superseded.
func (t *IncarnationTracker) isSuperseded(of ident.Host, incarnation uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return incarnation != 0 && incarnation < t.byHost[of]
}
