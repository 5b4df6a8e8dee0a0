// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"

	"github.com/yardhall/yardhall/core/confirmation"
)

// A host uses its route table for requests with a key for KeyLease after the as-of time of its
// newest confirmation (package confirmation). A revoked key therefore stops working everywhere
// within KeyLease, also on a host that is partitioned. The default outlives an election, so that
// elections refuse no requests.
//
// Inputs: the newest confirmation, KeyLease, and the current time.

// LeaseValid reports whether the route table was confirmed recently enough for requests with a
// key.
func (s State) LeaseValid(now time.Time) bool {
	return s.tableNumber > 0 && s.confirmed.Valid(s.settings.KeyLease, now)
}

// Ready reports whether the load balancer should send new connections to this host. The lease
// must remain valid for at least notice, the time the balancer needs to stop sending connections,
// and a starting host must know a healthy worker for every pool in use.
func (s State) Ready(now time.Time, notice time.Duration) bool {
	return s.LeaseValid(now.Add(notice)) && (!s.Starting(now) || s.HasHealthyWorkers(now))
}

// KeyLease returns how long a confirmation remains valid for requests with a key.
func (s State) KeyLease() time.Duration { return s.settings.KeyLease }

// Confirmation returns the latest confirmation that this host's route table is the newest.
func (s State) Confirmation() confirmation.Confirmation { return s.confirmed }
