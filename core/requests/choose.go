// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"math"
	"slices"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
)

// Candidates for an attempt are the workers of the request's pool that it has not tried, that are
// available and in a reachable zone; if there are none, those that may still be alive. Workers of
// drained zones are excluded (drained.go). Engines are then chosen by the rule of engine.go,
// plain workers by the one below.
//
// A plain worker is drawn by the request's id with a weight: the square of its smoothed free
// slots, multiplied for workers in the host's own zone. Load reports of other hosts are older
// than most plain work takes, so hosts that all pick the least loaded worker fill it at once, and
// then the next one. A weighted draw spreads them, and still avoids workers that are fuller than
// others: with 72 simulated hosts before three workers of six slots, one of them lost, workers
// declined 0.107 and 0.123 of the requests by the lowest count, 0.002 by weight.
//
// Inputs: smoothed loads (load.go), slots, zones, and whether the route is repeatable.
const (
	// ownZoneWeight multiplies the weight of workers in the host's own zone for repeatable
	// requests, ownZoneWeightOnce for requests that must run at most once: these are lost in a
	// partition between zones. With 4 instead of 16, workers declined 0.007 of the requests in the
	// simulation above, with 1 0.015, as the traffic of zones peaks at different times.
	ownZoneWeight     = 2.0
	ownZoneWeightOnce = 16.0
	// leastFree is the fraction of its slots counted as free for a full worker, so that one can
	// be drawn when all are full.
	leastFree = 0.1
)

// candidate holds what a choice needs of one worker. It is small, as each choice scans every
// worker of the pool.
type candidate struct {
	member *member
	key    hash.Key
	zone   ident.Zone
	load   int
	// own is this host's part of the load; aged is set if the part of others is older than reportTTL.
	own  int
	aged bool
	// smoothedLoad is the load with other hosts' requests averaged over time.
	smoothedLoad float64
	slots        int
	// coldLimited is set if the worker is cold and its request rate is limited.
	coldLimited bool
	// score is the rendezvous score for the request; the highest is preferred.
	score uint64
}

// choice is the worker chosen for an attempt.
type choice struct {
	worker worker
	// cacheFrom is the address of another engine that most likely has the prompt's shared parts
	// cached.
	cacheFrom string
	// meanLoad is the mean load of the pool; 0 for plain workers.
	meanLoad float64
	// position is the worker's rank in the rendezvous order, 0 for the first; candidates is the
	// number of candidates.
	position   int
	candidates int
	// onlyCold is set if there was no candidate and cold workers were skipped, noRoom if brittle
	// workers were.
	onlyCold bool
	noRoom   bool
	// lastResort is set if no worker was available.
	kind       AttemptKind
	lastResort bool
}

// chooseWorker returns the worker for the call's next attempt. It reports false if there is none.
func (t *transition) chooseWorker(c call) (choice, bool) {
	versions := t.versionsFor(c)
	if !versions.usesNext {
		return t.chooseAmong(c, versions.current, !versions.draining)
	}
	if picked, ok := t.chooseAmong(c, versions.next, versions.draining); ok {
		return picked, true
	}
	if versions.draining && len(c.tried) > 0 {
		return choice{}, false
	}
	return t.chooseAmong(c, versions.current, !versions.draining)
}

// chooseAmong returns the worker for the call's next attempt among those that a filter allows. Those
// that only may be alive are used if mayUseLastResort is set.
func (t *transition) chooseAmong(c call, f versionFilter, mayUseLastResort bool) (choice, bool) {
	if picked, ok := t.scanForEngine(c, f); ok {
		return picked, true
	}
	view := t.poolView(c, f)
	candidates := view.candidates()
	if len(candidates) == 0 || !view.hasAvailable() && !mayUseLastResort {
		return choice{onlyCold: view.coldSkipped > 0, noRoom: view.withoutRoom > 0}, false
	}
	var picked choice
	if c.pool.Engine {
		picked = t.chooseEngine(c, candidates, t.wholeMean(view.meanLoad()))
	} else {
		picked = t.choosePlain(c, candidates)
	}
	picked.lastResort = !view.hasAvailable()
	return picked, true
}

// poolView holds the workers of a pool that a call has not tried, and the load of the whole pool.
type poolView struct {
	// available workers are in reachable zones, draining ones in zones being drained; lastResort
	// holds those that may be alive, for use when there is nothing better.
	available, draining, lastResort []candidate
	// coldSkipped counts cold workers to which this host may send nothing at present, withoutRoom
	// brittle ones.
	coldSkipped int
	withoutRoom int
	// alive counts the workers of the pool that may have load, whether or not this call may use
	// them; totalLoad is their load in requests.
	alive, totalLoad int
}

// meanLoad returns the mean load of the pool's workers, in requests.
func (v poolView) meanLoad() float64 { return float64(v.totalLoad) / float64(max(1, v.alive)) }

// candidates returns the workers that may take the call: the available ones, or else those that
// may be alive.
func (v poolView) candidates() []candidate {
	if available := withDraining(v.available, v.draining); len(available) > 0 {
		return available
	}
	return v.lastResort
}

// hasAvailable reports whether an available worker is left.
func (v poolView) hasAvailable() bool { return len(v.available)+len(v.draining) > 0 }

// hasAvailable reports whether an available worker is left for the call.
func (t *transition) hasAvailable(c call) bool {
	versions := t.versionsFor(c)
	return versions.usesNext && t.poolView(c, versions.next).hasAvailable() || t.poolView(c, versions.current).hasAvailable()
}

// memberClass is what a call may do with a member of its pool.
type memberClass uint8

const (
	// unused members have no load and take none.
	unused memberClass = iota
	// excluded members may have load, but the call may not use them.
	excluded
	// coldSkipped members are cold, and this host may send them nothing at present.
	coldSkipped
	// withoutRoom members are brittle, and this host may send them nothing more at present.
	withoutRoom
	// shiftedAway members are in a zone being drained that the call avoids.
	shiftedAway
	// lastResort members may be alive.
	lastResort
	available
)

// poolView classifies the workers of the call's pool; those that f does not allow are excluded.
func (t *transition) poolView(c call, f versionFilter) poolView {
	members := t.workers.Pool(c.pool.ID)
	v := poolView{available: make([]candidate, 0, members.Len())}
	estimate, open := t.loadEstimate(t.now), t.openZones()
	for m := range members.All() {
		current, class := t.classify(c, m, f, estimate, open)
		if class == unused {
			continue
		}
		v.alive++
		v.totalLoad += current.load
		switch class {
		case coldSkipped:
			v.coldSkipped++
		case withoutRoom:
			v.withoutRoom++
		case shiftedAway:
			v.draining = append(v.draining, current)
		case lastResort:
			v.lastResort = append(v.lastResort, current)
		case available:
			v.available = append(v.available, current)
		case unused, excluded:
		}
	}
	return v
}

// classify returns a member of the call's pool with its load, and its class.
func (t *transition) classify(c call, m *member, f versionFilter, estimate loadEstimate, open openZones) (candidate, memberClass) {
	allowed := f.allows(m)
	if allowed && m.isAvailable(t.now) && len(c.tried) == 0 && open.has(m.placement) && !t.isBrittle(c.pool.ID) {
		return estimate.candidate(m), available
	}
	if m.full == nil && m.state == registry.Ready && !allowed {
		return estimate.candidate(m), excluded
	}
	w := m.worker(t.workers.base)
	if !w.mayHaveLoad() {
		return candidate{}, unused
	}
	current := estimate.candidate(m)
	current.coldLimited = t.isColdLimited(c.pool, &w)
	if !allowed || t.isZoneClosed(w.Zone) || slices.Contains(c.tried, w.ID) || w.backoffLeft(t.now) > 0 {
		return current, excluded
	}
	switch usable := w.available(t.now) && t.isZoneReachable(w.Zone); {
	case t.limitedClass(c, &w, current) != available:
		return current, t.limitedClass(c, &w, current)
	case usable && t.drainedZones.IsDrained(w.Zone) && t.isShiftedAway(c, w.Zone):
		return current, shiftedAway
	case usable:
		return current, available
	case w.mayBeAlive() && !t.drainedZones.IsDrained(w.Zone):
		return current, lastResort
	}
	return current, excluded
}

// choosePlain draws one of the workers by weight.
func (t *transition) choosePlain(c call, candidates []candidate) choice {
	scoreCandidates(candidates, requestKey(c.req.ID))
	bestIndex, bestScore := 0, math.Inf(-1)
	for i, w := range candidates {
		// Weighted rendezvous hashing: a larger weight moves the logarithm closer to 0.
		if drawn := math.Log(unit(w.score)) / t.plainWeight(c, w); drawn > bestScore {
			bestIndex, bestScore = i, drawn
		}
	}
	picked := t.choiceOf(candidates, bestIndex)
	picked.position = 0
	return picked
}

// unit maps a score to (0, 1].
func unit(score uint64) float64 { return (float64(score>>unitShift) + 1) / (1 << (64 - unitShift)) }

// unitShift leaves as many bits of a score as a float64 represents exactly.
const unitShift = 11

// plainWeight is the weight of a plain worker in the draw: by its free slots and zone.
func (t *transition) plainWeight(c call, w candidate) float64 {
	free := max(leastFree*float64(w.slots), float64(w.slots)-w.smoothedLoad)
	weight := free * free
	switch {
	case w.zone != t.settings.Zone:
	case c.route.Repeatable():
		weight *= ownZoneWeight
	default:
		weight *= ownZoneWeightOnce
	}
	return weight
}

// requestKey returns the hash of a request's id, which seeds its draws.
func requestKey(id ident.Request) hash.Key { return hash.Of(string(id)) }

// drawSteps is the resolution of a draw from a request's key.
const drawSteps = 100

// scoreCandidates sets each candidate's rendezvous score for a key.
func scoreCandidates(candidates []candidate, key hash.Key) {
	for i := range candidates {
		candidates[i].score = hash.Mix(key, candidates[i].key)
	}
}

// highestScored returns the index of the highest-scored candidate that fits, or -1.
func highestScored(candidates []candidate, fits func(candidate) bool) int {
	index := -1
	for i, w := range candidates {
		if (index < 0 || w.score > candidates[index].score) && fits(w) {
			index = i
		}
	}
	return index
}

// choiceOf returns the choice of one candidate, with its position in the rendezvous order.
func (t *transition) choiceOf(candidates []candidate, index int) choice {
	position := 0
	for _, w := range candidates {
		if w.score > candidates[index].score {
			position++
		}
	}
	w, _ := t.workers.Get(candidates[index].member.idOf())
	return choice{worker: w, position: position, candidates: len(candidates)}
}
