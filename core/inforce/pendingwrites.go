// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package inforce

import (
	"time"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/table"
)

// PendingWrite is a committed write whose acknowledgement waits until its table is in force.
type PendingWrite struct {
	// ID identifies the write; To is the host that waits for the acknowledgement.
	ID     string
	To     ident.Host
	Result catalog.Result
	// Version is the version of the table that the write created.
	Version config.Version
}

// heldWrite is a pending write, with the time since when it is held and the host that it last
// waited for.
type heldWrite struct {
	PendingWrite
	since     time.Time
	blockedBy ident.Host
}

// ReleasedWrite is a write that can be acknowledged, as its table will be in force in time.
type ReleasedWrite struct {
	PendingWrite
	// Delay is how long the write was held, BlockedBy the last host that it waited for; empty if
	// none.
	Delay     time.Duration
	BlockedBy ident.Host
}

// WithPendingWrite holds a write; one with an ID that is held already is ignored.
func (s State) WithPendingWrite(w PendingWrite, now time.Time) State {
	if !s.heldWrites.Has(w.ID) {
		s.heldWrites = s.heldWrites.With(w.ID, heldWrite{PendingWrite: w, since: now})
	}
	return s
}

// WithoutPendingWrites drops all held writes, as a replica must when it loses the leadership.
func (s State) WithoutPendingWrites() State {
	s.heldWrites = table.Table[string, heldWrite]{}
	return s
}

// TakePendingWrites removes and returns all held writes, to answer them otherwise.
func (s State) TakePendingWrites() (State, []PendingWrite) {
	out := make([]PendingWrite, 0, s.heldWrites.Len())
	for _, w := range s.heldWrites.All() {
		out = append(out, w.PendingWrite)
	}
	return s.WithoutPendingWrites(), out
}

// PendingWrites returns the number of writes held.
func (s State) PendingWrites() int { return s.heldWrites.Len() }

// ReleaseWrites removes and returns the writes whose tables will be in force in time. It checks
// every lease for each write.
func (s State) ReleaseWrites(settings Settings, host HostInfo, now time.Time) (State, []ReleasedWrite) {
	var released []ReleasedWrite
	for id, w := range s.heldWrites.All() {
		ok, blockedBy := s.WillBeInForce(w.Version, settings, host, now)
		if !ok {
			w.blockedBy = blockedBy
			s.heldWrites = s.heldWrites.With(id, w)
			continue
		}
		s.heldWrites = s.heldWrites.Without(id)
		released = append(released, ReleasedWrite{PendingWrite: w.PendingWrite, Delay: now.Sub(w.since), BlockedBy: w.blockedBy})
	}
	return s, released
}
