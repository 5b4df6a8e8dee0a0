// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import "time"

// A host uses its route table for requests with a key for KeyLease after the time as of
// which a leader confirmed that the table was the newest. A key that was taken away so
// stops working everywhere within KeyLease, also at a host that is cut off. Measured: a
// lease of 2 s refuses requests during each election, one of 4 s outlives them.
//
// Inputs: the as-of time of the newest confirmation, KeyLease, and the present time.

// withConfirmation takes a confirmation that the table held was the newest as of a time.
// An older confirmation than the one held changes nothing.
func (s State) withConfirmation(asOf time.Time) State {
	if asOf.After(s.confirmed) {
		s.confirmed = asOf
	}
	return s
}

// LeaseValid tells whether the table was confirmed recently enough for requests with a
// key.
func (s State) LeaseValid(now time.Time) bool {
	return s.number > 0 && !s.confirmed.IsZero() && now.Sub(s.confirmed) < s.settings.KeyLease
}

// Ready tells whether new connections should come to this host at now: its lease stays
// valid for at least notice more, which is the time that the balancer needs to stop
// sending connections, and a host that starts knows the workers that it needs.
func (s State) Ready(now time.Time, notice time.Duration) bool {
	return s.LeaseValid(now.Add(notice)) && (!s.Starting(now) || s.HasWorkers(now))
}

// KeyLease is how long a confirmation serves requests with a key.
func (s State) KeyLease() time.Duration { return s.settings.KeyLease }

// Confirmed is the time as of which the table held was surely the newest one; zero for
// never.
func (s State) Confirmed() time.Time { return s.confirmed }
