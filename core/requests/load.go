// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"math"
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/loads"
)

// A worker's load is this host's own requests there, counted exactly, plus an estimate of other
// hosts' requests: the worker's own report with an answer or the sum reported by hosts, whichever
// is newer. An estimate older than reportTTL is aged: others have used the worker since, and the host
// does not know how much. It then keeps the last estimate and is held to its part of the worker's room as
// well (part.go). An aged estimate is never taken for no load: a host that counts only its own requests
// computes a mean, and so a bound, that is too low by the number of hosts, and sends each prefix to
// its first engine like all others.
//
// The smoothed load averages the other hosts' requests over smoothingTime. Reports are out of
// date, so hosts that all avoid an engine because of its latest count also return to it together:
// loads oscillate, and prefixes move between engines without need. With the smoothed load, hosts
// avoid an engine only if its load stays high.
//
// Inputs: counts in requests with their as-of times.

const (
	// reportTTL is how long an estimate of other hosts' requests is used by itself, more than twice as old as
	// reports are in a large fleet.
	reportTTL = 2 * time.Second
	// reportLifetime is how long an aged estimate is kept. Loads are estimated from this host's own
	// requests after that.
	reportLifetime = 30 * time.Second
)

// smoothingTime is the time constant of the moving average, several times the age of reports. In
// simulated fleets of 72 and 295 hosts, 0.039 and 0.043 of all tokens moved with 3 s, 0.054 and 0.065
// without the average; 1.5 s brought half of that, 6 s no more.
const smoothingTime = 3 * time.Second

// handleLoads applies the counts of other hosts' requests at workers, as of a time.
func (t *transition) handleLoads(ev LoadsReported) {
	reported := ev.Loads.Counts()
	weight := 1 - math.Exp(-ev.AsOf.Sub(t.reportedAsOf).Seconds()/smoothingTime.Seconds())
	t.smoothedLoads = smoothed(t.smoothedLoads, reported, min(1, max(0, weight)))
	t.reportedLoads, t.reportedAsOf = reported, ev.AsOf
	t.loadedTags = tagFilterOf(t.smoothedLoads)
	t.shrinkToReports()
}

// smoothed returns the moving average after new counts, which enter it with the given weight.
func smoothed(average map[loads.Tag]float64, counts loads.Counts, weight float64) map[loads.Tag]float64 {
	next := make(map[loads.Tag]float64, len(counts))
	for tag, n := range counts {
		next[tag] = weight * float64(n)
	}
	for tag, previous := range average {
		if rest := (1 - weight) * previous; rest > minSmoothedLoad {
			next[tag] += rest
		}
	}
	return next
}

// tagFilter tells which tags may be among the reported or smoothed loads, by a part of their bits. In
// a large fleet most workers have no requests, and a look into it is far cheaper than one into a map.
type tagFilter [tagFilterBits / 64]uint64

// tagFilterBits is several times the number of workers in use in the largest fleet.
const tagFilterBits = 1 << 16

// tagFilterOf returns the filter of the smoothed loads, which include all reported ones.
func tagFilterOf(smoothed map[loads.Tag]float64) *tagFilter {
	var f tagFilter
	for tag := range smoothed {
		f[tag%tagFilterBits/64] |= 1 << (tag % 64)
	}
	return &f
}

func (f *tagFilter) mayHave(tag loads.Tag) bool {
	return f != nil && f[tag%tagFilterBits/64]&(1<<(tag%64)) != 0
}

// minSmoothedLoad is the number of requests below which an average is dropped.
const minSmoothedLoad = 0.01

// loadEstimate estimates workers' loads as of a time.
type loadEstimate struct {
	reported loads.Counts
	smoothed map[loads.Tag]float64
	loaded   *tagFilter
	asOf     time.Time
	now      time.Time
	// aged is set if the reported loads are older than reportTTL, known if they are not older than reportLifetime.
	aged, known bool
}

func (s State) loadEstimate(now time.Time) loadEstimate {
	return loadEstimate{
		reported: s.reportedLoads, smoothed: s.smoothedLoads, loaded: s.loadedTags, asOf: s.reportedAsOf, now: now,
		aged: s.hasAgedLoads(now), known: now.Sub(s.reportedAsOf) <= reportLifetime,
	}
}

// hasAgedLoads reports whether the loads that other hosts reported are older than reportTTL.
func (s State) hasAgedLoads(now time.Time) bool {
	return s.hostCount > 1 && now.Sub(s.reportedAsOf) > reportTTL
}

// candidate returns a member of a pool with its load, and with other hosts' requests averaged over
// time.
func (l loadEstimate) candidate(m *member) candidate {
	p, tag := m.placement.Value(), loads.TagOfKey(m.key)
	mayBeLoaded := l.known && l.loaded.mayHave(tag)
	c := candidate{member: m, key: m.key, zone: p.zone, slots: p.slots, aged: l.aged}
	if m.full != nil {
		c.own, c.load, c.smoothedLoad = m.full.inFlight, m.full.inFlight, float64(m.full.inFlight)
	}
	if mayBeLoaded {
		c.smoothedLoad += l.smoothed[tag]
	}
	switch {
	case m.full != nil && m.full.selfReportedAt.After(l.asOf):
		c.load += m.full.selfReported
		c.aged = l.aged && l.now.Sub(m.full.selfReportedAt) > reportTTL
	case mayBeLoaded:
		c.load += l.reported[tag]
	}
	return c
}

// reportedLoad returns the requests of other hosts at a member whose own report is not known.
func (l loadEstimate) reportedLoad(m *member) int {
	if tag := loads.TagOfKey(m.key); l.known && l.loaded.mayHave(tag) {
		return l.reported[tag]
	}
	return 0
}

// load estimates the requests that a worker has from all hosts.
func (s State) load(w *worker, now time.Time) int {
	m := packWorker(w, s.workers.base, "")
	return s.loadEstimate(now).candidate(&m).load
}

// loadAsOf returns the time of the estimate of other hosts' requests at a worker.
func (s State) loadAsOf(w *worker) time.Time {
	if w.selfReportedAt.After(s.reportedAsOf) {
		return w.selfReportedAt
	}
	return s.reportedAsOf
}

// Loads returns the number of this host's requests at each worker that has any, and of its recent
// first attempts and retries in each pool.
func (s State) Loads(now time.Time) loads.Digest {
	own := loads.Counts{}
	for _, w := range s.workers.InUse() {
		own[w.tag] += w.inFlight
	}
	s.addRetrySpending(own, now)
	s.addRoomUse(own, now)
	return loads.Pack(own)
}

// addInFlight counts a request of this host at a worker.
func (t *transition) addInFlight(id ident.Target) {
	if w, ok := t.workers.Get(id); ok {
		w.inFlight++
		t.workers = t.workers.With(id, w)
	}
}

// removeInFlight removes the call's attempt from its worker's count, unless the worker has
// restarted since or the call is paused before a resend.
func (t *transition) removeInFlight(c call) {
	if w, ok := t.workers.Get(c.target); ok && w.incarnation == c.incarnation && !c.pausing {
		w.inFlight = max(0, w.inFlight-1)
		t.workers = t.workers.With(c.target, w)
	}
}

// handleHeader records the time until an answer began and applies what the worker reports about
// itself. Reported load beyond this host's requests there belongs to other hosts.
func (t *transition) handleHeader(ev HeaderReceived) {
	if !ev.Tunneled {
		t.recordResponse(ev.Worker, ev.NewConnection)
	}
	if !ev.Declined {
		t.recordHeaderTime(ev.Route, ev.Took)
	}
	t.applyNotice(ev)
	t.recordProcessAnswer(ev)
	w, ok := t.workers.Get(ev.Worker)
	if !ok || ev.Load.Slots == 0 {
		return
	}
	w.selfReported = max(0, ev.Load.Running+ev.Load.Waiting-w.inFlight)
	w.selfReportedAt = t.now
	t.workers = t.workers.With(ev.Worker, w)
	if !ev.Tunneled {
		t.recordZoneResponse(w.Zone)
	}
}
