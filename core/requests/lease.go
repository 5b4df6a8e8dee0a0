// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"

	"github.com/yardhall/yardhall/core/confirmation"
)

// A host uses its route table for requests with a key for KeyLease after the as-of time of
// its newest confirmation (package confirmation). So a key that was taken away stops working
// everywhere within KeyLease, also at a host that is cut off. Chosen: a lease of 2 s would
// refuse requests during each election, one of 4 s outlives them.
//
// Inputs: the newest confirmation, KeyLease, and the present time.

// LeaseValid tells whether the table was confirmed recently enough for requests with a
// key.
func (s State) LeaseValid(now time.Time) bool {
	return s.number > 0 && s.confirmed.Valid(s.settings.KeyLease, now)
}

// Ready tells whether new connections should come to this host at now: its lease stays
// valid for at least notice more, which is the time that the balancer needs to stop
// sending connections, and a host that starts knows the workers that it needs.
func (s State) Ready(now time.Time, notice time.Duration) bool {
	return s.LeaseValid(now.Add(notice)) && (!s.Starting(now) || s.HasHealthyWorkers(now))
}

// KeyLease is how long a confirmation serves requests with a key.
func (s State) KeyLease() time.Duration { return s.settings.KeyLease }

// Confirmation says as of when the table held was surely the newest one.
func (s State) Confirmation() confirmation.Confirmation { return s.confirmed }
