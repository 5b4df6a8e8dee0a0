// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/loads"
)

// A worker's load is this host's own requests there, counted exactly, and an estimate of
// other hosts' requests: the worker's own report with an answer, or the sum of what hosts
// reported, whichever is younger. An estimate that is too old counts nothing.
//
// Inputs: counts in requests with their as-of times.

// reportLifetime is how long an estimate of other hosts' requests counts. Chosen, not
// measured: ten times the 0.3 s between two reports of loads.
const reportLifetime = 3 * time.Second

// load estimates the requests that a worker has from all hosts.
func (s State) load(w worker, now time.Time) int {
	others, asOf := s.othersLoad(w)
	if now.Sub(asOf) > reportLifetime {
		return w.inFlight
	}
	return w.inFlight + others
}

// othersLoad is how many requests other hosts have at a worker, as of a time.
func (s State) othersLoad(w worker) (n int, asOf time.Time) {
	if w.selfReportedAt.After(s.reportedAsOf) {
		return w.selfReported, w.selfReportedAt
	}
	return s.reported[w.tag], s.reportedAsOf
}

// Loads returns the requests of this host at each worker that has any, and what it has sent
// once more to each pool.
func (s State) Loads(now time.Time) loads.Digest {
	own := loads.Counts{}
	for _, w := range s.workers.All() {
		if w.inFlight > 0 {
			own[w.tag] += w.inFlight
		}
	}
	s.addRetries(own, now)
	return loads.Pack(own)
}

// addInFlight counts a request of this host at a worker.
func (t *transition) addInFlight(id ident.Target) {
	if w, ok := t.workers.Get(id); ok {
		w.inFlight++
		t.workers = t.workers.With(id, w)
	}
}

// endInFlight takes the call's attempt out of the count, unless its worker has started
// again since.
func (t *transition) endInFlight(c call) {
	if w, ok := t.workers.Get(c.target); ok && w.life == c.life {
		w.inFlight = max(0, w.inFlight-1)
		t.workers = t.workers.With(c.target, w)
	}
}

// headerReceived takes the time until an answer began, and the worker's report of its
// load: what exceeds this host's requests belongs to other hosts.
func (t *transition) headerReceived(ev HeaderReceived) {
	t.learnHeaderTime(ev.Route, ev.Took)
	w, ok := t.workers.Get(ev.Worker)
	if !ok || ev.Load.Slots == 0 {
		return
	}
	w.selfReported = max(0, ev.Load.Running+ev.Load.Waiting-w.inFlight)
	w.selfReportedAt = t.now
	t.workers = t.workers.With(ev.Worker, w)
	t.zoneAnswered(w.Zone)
}
