// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package peers

import (
	"sync"

	"github.com/yardhall/yardhall/core/ident"
)

// BootTracker are the newest starts of other hosts' processes, as these told when they
// called. A connection to an earlier start leads nowhere: a host that lost its power
// does not close it. The zero value knows none.
type BootTracker struct {
	mu     sync.Mutex
	byHost map[ident.Host]uint64
}

// heard takes the start of a host's process.
func (b *BootTracker) heard(from ident.Host, boot uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byHost == nil {
		b.byHost = map[ident.Host]uint64{}
	}
	if boot > b.byHost[from] {
		b.byHost[from] = boot
	}
}

// answered takes the start of the process that has just answered a call, whatever was
// heard before: the clock that starts are told by may have been set back.
func (b *BootTracker) answered(of ident.Host, boot uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byHost == nil {
		b.byHost = map[ident.Host]uint64{}
	}
	b.byHost[of] = boot
}

// isOver tells whether a host has told of a later start than the given one; 0 is one
// that is not known.
func (b *BootTracker) isOver(of ident.Host, boot uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return boot != 0 && boot < b.byHost[of]
}
