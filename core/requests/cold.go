// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/hash"
)

// A cold worker sustains ColdPerSecond requests per second from all hosts together, and fails
// above that. It reports how long it stays cold; one that reports nothing is warm. No host knows
// what the others are sending at the moment, so each cold worker is used by a few hosts only: a
// host is one of them if a draw from its name and the worker's id says so, which selects
// ColdPerSecond x coldFraction of all hosts on average. Each of them sends the worker at most one
// request per coldInterval. The total rate thus holds in any surge without messages: it does not
// depend on load reports, nor on hosts that are partitioned, frozen or new. Other requests go to
// the next worker in the rendezvous order; a fleet of only cold workers serves what they sustain
// and refuses the rest at once.
//
// A host that does not know the number of hosts yet sends nothing to cold workers. If there are
// fewer hosts than requests per second, each host sends its share of the rate.
//
// With 300 hosts that all want one cold worker, which sustains 8.9 requests a second, it got 5.6 in the
// worst second, 13 in the worst of 200 draws. A part of the rate for each host came to 300 at once, and
// counts of other hosts, 0.7 s old, to 900.
//
// Inputs: the worker's reported cold time, ColdPerSecond of its pool, and the number of entry
// hosts.
const (
	// coldFraction is the fraction of the sustained rate that is assigned. The number of hosts
	// drawn varies by its square root, and a worker must never get more than 1.5 times its
	// sustained rate plus 5.
	coldFraction = 0.6
	// coldInterval is the least time between two requests of a host to a cold worker, a little
	// more than the second over which the rate is counted.
	coldInterval = 1050 * time.Millisecond
	// retryAfterCold is the advice to callers when all workers are cold: another host may be
	// assigned one of them.
	retryAfterCold = 300 * time.Millisecond
	// coldDrawSteps is the resolution of the draw.
	coldDrawSteps = 1 << 20
)

// isCold reports whether the worker is still cold.
func (w *worker) isCold(now time.Time) bool { return now.Before(w.coldUntil) }

// isColdLimited reports whether a worker is cold and its pool limits the request rate of cold
// workers.
func (t *transition) isColdLimited(p config.Pool, w *worker) bool {
	return p.ColdPerSecond > 0 && w.isCold(t.now)
}

// mayUseCold reports whether the rate limit of cold workers allows a request of this host to the
// worker.
func (t *transition) mayUseCold(p config.Pool, w *worker) bool {
	if !t.isColdLimited(p, w) {
		return true
	}
	if !t.hostCountKnown {
		return false
	}
	ratePerHost := p.ColdPerSecond * coldFraction / float64(max(1, t.hostCount))
	drawn := float64(hash.Mix(hash.Of(string(t.settings.Host)), w.key)%coldDrawSteps) / coldDrawSteps
	if drawn >= ratePerHost {
		return false
	}
	gap := time.Duration(float64(coldInterval) / max(1, ratePerHost))
	return t.now.Sub(w.coldSentAt) >= gap
}

// recordColdSend records the time of a request to a cold worker.
func (t *transition) recordColdSend(w worker, at time.Time) {
	if current, ok := t.workers.Get(w.ID); ok && current.isCold(t.now) {
		current.coldSentAt = at
		t.workers = t.workers.With(w.ID, current)
	}
}
