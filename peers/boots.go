// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package peers

import (
	"sync"

	"github.com/yardhall/yardhall/core/ident"
)

// BootTracker holds the latest known incarnation of each other host. A connection to an earlier
// incarnation is dead, but a host that lost power does not close it. The zero value is empty.
type BootTracker struct {
	mu     sync.Mutex
	byHost map[ident.Host]uint64
}

// advance records the incarnation of a host that has connected, if it is later than the known one.
func (b *BootTracker) advance(from ident.Host, boot uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byHost == nil {
		b.byHost = map[ident.Host]uint64{}
	}
	if boot > b.byHost[from] {
		b.byHost[from] = boot
	}
}

// set records the incarnation that has just responded to a call, even if it is earlier than the
// known one: incarnations come from the host's clock, which may have been set back.
func (b *BootTracker) set(of ident.Host, boot uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byHost == nil {
		b.byHost = map[ident.Host]uint64{}
	}
	b.byHost[of] = boot
}

// isSuperseded reports whether a later incarnation of the host is known. An incarnation of 0 is
// unknown and never superseded.
func (b *BootTracker) isSuperseded(of ident.Host, boot uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return boot != 0 && boot < b.byHost[of]
}
