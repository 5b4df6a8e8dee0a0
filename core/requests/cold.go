// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/hash"
)

// A cold worker bears ColdPerSecond requests a second from all hosts together, and falls over
// above that. It says how long it is cold; one that says nothing is warm. No host knows what
// the others send it this very second, so each cold worker is served by a few hosts only: a
// host is one of them where a draw from its name and the worker's id says so, by which
// ColdPerSecond x coldPart of all hosts are on average. Each of them sends the worker at most
// one request a second. So the sum holds whatever surges, without a message: it does not
// depend on what is reported, nor on which hosts are cut off, frozen or new. What else would
// go to the worker goes to the next one in order; a fleet whose workers are all cold serves
// what they bear, and refuses the rest at once.
//
// A host that does not yet know how many hosts there are sends a cold worker nothing. Where
// there are fewer hosts than requests a second, each host sends its part of them.
//
// Inputs: the worker's cold time as it says, ColdPerSecond of its pool, how many entry hosts
// there are. Measured with 300 hosts that all have requests for one cold worker at every moment,
// which bears 8.9 a second: 5.6 in the worst second, 13 in the worst of 200 draws. A part of
// the rate for each host came to 300 at once where it was saved up, and to 8.5 and 15 where
// each host has a moment of its own for it; it serves less in calm, as a host's moment rarely
// meets a request. Counts that other hosts reported 0.7 s ago came to 900.
const (
	// coldPart of what a cold worker bears is handed out: how many hosts are drawn varies, by
	// the square root of their number, and users ask that a worker never gets more than 1.5
	// times what it bears, and 5.
	coldPart = 0.6
	// coldGap is the least time between two requests of a host to a cold worker, a little
	// over the second in which requests are counted.
	coldGap = 1050 * time.Millisecond
	// retryAfterCold is the advice to callers where all workers are cold: another host may
	// have one of them for it. Chosen, not measured.
	retryAfterCold = 300 * time.Millisecond
	// coldDraws is the number of steps of the draw.
	coldDraws = 1 << 20
)

// cold tells whether the worker has said that it is cold.
func (w worker) cold(now time.Time) bool { return now.Before(w.coldUntil) }

// isBounded tells whether a worker is cold and its pool bears only so much of that.
func (t *transition) isBounded(p config.Pool, w worker) bool {
	return p.ColdPerSecond > 0 && w.cold(t.now)
}

// takesCold tells whether this host may send a request to the worker now, as far as the
// worker's cold time is concerned.
func (t *transition) takesCold(p config.Pool, w worker) bool {
	if !t.isBounded(p, w) {
		return true
	}
	if !t.hostsKnown {
		return false
	}
	perHost := p.ColdPerSecond * coldPart / float64(max(1, t.hosts))
	drawn := float64(hash.Mix(hash.Of(string(t.settings.Host)), w.key)%coldDraws) / coldDraws
	if drawn >= perHost {
		return false
	}
	gap := time.Duration(float64(coldGap) / max(1, perHost))
	return t.now.Sub(w.coldSentAt) >= gap
}

// noteColdSend remembers that a request is sent to a worker while it is cold.
func (t *transition) noteColdSend(w worker, at time.Time) {
	if have, ok := t.workers.Get(w.ID); ok && have.cold(t.now) {
		have.coldSentAt = at
		t.workers = t.workers.With(w.ID, have)
	}
}
