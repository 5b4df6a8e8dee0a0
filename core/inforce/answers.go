// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package inforce

import (
	"time"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/table"
)

// PendingWrite is the answer to a write that waits until a table is in force.
type PendingWrite struct {
	// ID names the write, To is the host that waits for its answer.
	ID     string
	To     ident.Host
	Result catalog.Result
	// Version is the table's.
	Version config.Version
}

// waitingAnswer is one of them with since when it waits, and the host for which it does.
type waitingAnswer struct {
	PendingWrite
	since    time.Time
	waitsFor ident.Host
}

// ReleasedWrite is an answer whose table will be in force in time.
type ReleasedWrite struct {
	PendingWrite
	// Delay is how long it waited, WaitedFor the last host that held it up; empty for
	// none.
	Delay     time.Duration
	BlockedBy ident.Host
}

// WithPendingWrite lets an answer wait; one that waits already under its ID stays.
func (s State) WithPendingWrite(a PendingWrite, now time.Time) State {
	if !s.waiting.Has(a.ID) {
		s.waiting = s.waiting.With(a.ID, waitingAnswer{PendingWrite: a, since: now})
	}
	return s
}

// WithoutPendingWrites drops all answers that wait, as a replica does that leads no more.
func (s State) WithoutPendingWrites() State {
	s.waiting = table.Table[string, waitingAnswer]{}
	return s
}

// PendingWrites is how many answers wait.
func (s State) PendingWrites() int { return s.waiting.Len() }

// ReleaseWrites takes out the answers whose tables will be in force in time. It looks at every
// lease for each answer.
func (s State) ReleaseWrites(set Settings, view HostInfo, now time.Time) (State, []ReleasedWrite) {
	var released []ReleasedWrite
	for id, a := range s.waiting.All() {
		ok, waitsFor := s.WillBeInForce(a.Version, set, view, now)
		if !ok {
			a.waitsFor = waitsFor
			s.waiting = s.waiting.With(id, a)
			continue
		}
		s.waiting = s.waiting.Without(id)
		released = append(released, ReleasedWrite{PendingWrite: a.PendingWrite, Delay: now.Sub(a.since), BlockedBy: a.waitsFor})
	}
	return s, released
}
