// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/registry"
)

// Most prompts go to the first engine with room in the rendezvous order, and the one with room is
// among the first few. scanForEngine therefore looks at each engine of the pool once, keeps only the
// highest-scored ones, and makes the same choice as chooseEngine does from the list of all
// candidates. In all other cases it makes none: after a failed attempt, where a prefix is spread over
// several engines, near saturation, and where no engine has room. Where none of the engines kept has room,
// it looks at the pool once more.

// scannedEngines is the number of engines kept. With a tenth of the engines full, all of them are in
// less than one of 10^15 choices.
const scannedEngines = 16

// topEngines holds engines in descending order of their scores.
type topEngines struct {
	engines [scannedEngines]candidate
	size    int
}

// keep adds an engine if it is among the highest-scored.
func (e *topEngines) keep(w *candidate) {
	if e.size == scannedEngines && w.score <= e.engines[scannedEngines-1].score {
		return
	}
	at := min(e.size, scannedEngines-1)
	for ; at > 0 && e.engines[at-1].score < w.score; at-- {
		e.engines[at] = e.engines[at-1]
	}
	e.engines[at] = *w
	e.size = min(e.size+1, scannedEngines)
}

// least returns the score above which an engine is kept.
func (e *topEngines) least() uint64 {
	if e.size < scannedEngines {
		return 0
	}
	return e.engines[scannedEngines-1].score
}

// firstWithRoom returns the highest-scored engine with room and its place; nil if none has room.
func (e *topEngines) firstWithRoom(limits roomLimits) (w *candidate, place int) {
	for i := range e.engines[:e.size] {
		if limits.admits(&e.engines[i]) {
			return &e.engines[i], i
		}
	}
	return nil, 0
}

// engineScan is what one look at each engine of a pool shows.
type engineScan struct {
	// first holds the highest-scored available engines, own those in the host's zone, all those in
	// any state.
	first, own, all topEngines
	// available counts the available engines and their load, alive all that may have load.
	available, availableLoad int
	alive, totalLoad         int
}

// scanForEngine picks the engine that chooseEngine would pick among those that f allows; ok is false if
// only chooseEngine can tell.
func (t *transition) scanForEngine(c call, f versionFilter) (picked choice, ok bool) {
	if !c.pool.Engine || len(c.tried) > 0 || t.isBrittle(c.pool.ID) {
		return choice{}, false
	}
	var scan engineScan
	t.scanEngines(c, f, &scan, nil)
	if scan.available == 0 {
		return choice{}, false
	}
	availableMean := t.wholeMean(float64(scan.availableLoad) / float64(scan.available))
	mean := t.wholeMean(float64(scan.totalLoad) / float64(max(1, scan.alive)))
	limits := t.roomLimits(c, mean, availableMean)
	if marginOf(availableMean, limits.latest) < nearSaturatedMargin && hasCheapPrefix(c) {
		return choice{}, false
	}
	w, position := t.pickScanned(c, &scan, mean, limits)
	if w == nil && !t.isSpread(c, &scan, mean, limits.latest) {
		w, position = t.pickAdmitted(c, f, &scan, limits)
	}
	if w == nil {
		return choice{}, false
	}
	picked = choice{worker: w.member.worker(t.workers.base), position: position, candidates: scan.available}
	return t.completeEngineChoice(c, picked, mean, scan.all.engines[:scan.all.size]), true
}

// pickScanned returns the engine to use and its rank among the available ones; nil if the engines kept
// do not tell.
func (t *transition) pickScanned(c call, scan *engineScan, mean float64, limits roomLimits) (*candidate, int) {
	if prefersOwnZone(c) {
		if w, _ := scan.own.firstWithRoom(limits); w != nil {
			return w, scan.rankOf(w.score)
		}
		if scan.own.size == scannedEngines {
			return nil, 0
		}
	}
	if t.isSpread(c, scan, mean, limits.latest) {
		return nil, 0
	}
	return scan.first.firstWithRoom(limits)
}

// isSpread reports whether the call's prefix is spread over several engines.
func (t *transition) isSpread(c call, scan *engineScan, mean, bound float64) bool {
	return isSurging(scan.first.engines[0], mean, bound) || t.enginesForPrefix(c, scan.available, mean, bound) > 1
}

// pickAdmitted returns the engine to use if none of those kept has room, as when loads are aged and this host
// has a part of few engines only; nil if no engine has room.
func (t *transition) pickAdmitted(c call, f versionFilter, scan *engineScan, limits roomLimits) (*candidate, int) {
	var admitted engineScan
	t.scanEngines(c, f, &admitted, &limits)
	if prefersOwnZone(c) && admitted.own.size > 0 {
		w := &admitted.own.engines[0]
		return w, scan.rankOf(w.score)
	}
	if admitted.first.size > 0 {
		w := &admitted.first.engines[0]
		return w, scan.rankOf(w.score)
	}
	if t.hasAgedLoads(t.now) {
		return scan.first.unused()
	}
	return nil, 0
}

// unused returns the highest-scored engine without requests of this host and its place; nil if none is kept.
func (e *topEngines) unused() (w *candidate, place int) {
	for i := range e.engines[:e.size] {
		if e.engines[i].own == 0 {
			return &e.engines[i], i
		}
	}
	return nil, 0
}

// rankOf returns the rank of an engine among the available ones, or scannedEngines for any rank above.
func (e *engineScan) rankOf(score uint64) int {
	for i := range e.first.engines[:e.first.size] {
		if e.first.engines[i].score <= score {
			return i
		}
	}
	return e.first.size
}

// scanEngines fills a scan of the call's pool. If within is set, only engines within these limits are kept.
// Engines of which only the registration is known are nearly all of a large pool, so they are judged without
// unpacking them.
func (t *transition) scanEngines(c call, f versionFilter, e *engineScan, within *roomLimits) {
	key, estimate, open := prefixKey(c), t.loadEstimate(t.now), t.openZones()
	for _, page := range t.workers.Pool(c.pool.ID).members.pages {
		for i := range page {
			m := &page[i]
			score := hash.Mix(key, m.key)
			if score > e.all.least() {
				e.all.keep(&candidate{member: m, score: score})
			}
			if m.full == nil && m.state == registry.Ready && open.has(m.placement) && f.allows(m) {
				e.count(estimate.reportedLoad(m))
				if score > e.first.least() || score > e.own.least() {
					t.keepScanned(e, estimate.candidate(m), score, within)
				}
				continue
			}
			current, class := t.classify(c, m, f, estimate, open)
			switch class {
			case unused:
			case available:
				e.count(current.load)
				t.keepScanned(e, current, score, within)
			case excluded, coldSkipped, withoutRoom, shiftedAway, lastResort:
				e.alive++
				e.totalLoad += current.load
			}
		}
	}
}

// count counts an available engine.
func (e *engineScan) count(load int) {
	e.alive++
	e.totalLoad += load
	e.available++
	e.availableLoad += load
}

// keepScanned keeps an available engine if it is among the highest-scored.
func (t *transition) keepScanned(e *engineScan, current candidate, score uint64, within *roomLimits) {
	if within != nil && !within.admits(&current) {
		return
	}
	current.score = score
	e.first.keep(&current)
	if current.zone == t.settings.Zone {
		e.own.keep(&current)
	}
}
