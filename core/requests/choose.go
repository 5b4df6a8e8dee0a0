// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"math"
	"slices"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
)

// An attempt goes to one of the workers of the request's pool that the request has not
// tried: to one that is available and whose zone is reachable, or where there is none, to
// one that may still be alive; to none of a drained zone (drained.go). Among the candidates the rule of the pool decides: for
// engines that of engine.go, for plain workers the one below.
//
// A plain worker is drawn by the request's id, with a weight: the square of the slots that it
// usually has free, and more in the host's own zone. Its work is mostly shorter than counts of
// other hosts are old, so that hosts which all take the worker with the lowest count fill it
// together, and the next one a moment later. Drawn, they spread over all, and turn from one
// that is usually fuller than the others.
//
// Inputs: usual loads (load.go), slots, zones, and whether the route is repeatable. Measured
// with 72 simulated hosts before three workers of six slots and 30 ms of work, one of which is
// lost, two seeds: with 178 requests a second 0.009 and 0.021 were declined by the lowest
// count, none by weight; with 268 0.107 and 0.123, and 0.002.
const (
	// ownZoneWeight multiplies the weight of workers in the host's own zone for requests that
	// may run again, ownZoneWeightOnce for those that must not run twice: they are lost where
	// zones lose each other, and those within a zone are not. Measured: with 4 in place of 16
	// 0.007 were declined above, with 1 0.015, as zones' waves are out of phase; the square
	// of the free slots did as well as the slots themselves, or their cube.
	ownZoneWeight     = 2.0
	ownZoneWeightOnce = 16.0
	// leastFree is the part of its slots that a full worker still counts as free, so that one
	// remains to be drawn where all are. Chosen, not measured.
	leastFree = 0.1
)

// candidate is what a choice needs of one worker; it is small, as a choice looks at every
// worker of a pool.
type candidate struct {
	id   ident.Target
	key  hash.Key
	zone ident.Zone
	load int
	// usual is the load with that of other hosts averaged.
	usual float64
	slots int
	// cold is set where the worker is cold, and what it gets is bounded.
	cold bool
	// preference is the rendezvous score for the request; the highest goes first.
	preference uint64
}

// choice is where an attempt goes.
type choice struct {
	worker worker
	// cacheFrom is the engine that most likely holds the prompt's shared parts, where it
	// is another one.
	cacheFrom string
	// mean is the mean load of the candidates, 0 for plain workers.
	mean float64
	// position is the worker's in the order of preference, 0 for the first; candidates
	// is how many there were.
	position   int
	candidates int
	// onlyCold is set where there was none, but for workers that are cold.
	onlyCold bool
	// kind says how the attempt came about, lastResort that no worker was available.
	kind       AttemptKind
	lastResort bool
}

// choose picks the worker for the call's next attempt; it answers false where there is
// none.
func (t *transition) choose(c call) (choice, bool) {
	view := t.poolView(c)
	found := view.candidates()
	if len(found) == 0 {
		return choice{onlyCold: view.cold > 0}, false
	}
	var picked choice
	if c.pool.Engine {
		picked = t.chooseEngine(c, found, view.meanLoad())
	} else {
		picked = t.choosePlain(c, found)
	}
	picked.lastResort = len(view.available)+len(view.draining) == 0
	return picked, true
}

// poolView is what a choice needs of the workers of a pool: those that the call has not tried,
// and how loaded all are.
type poolView struct {
	// available workers are in reachable zones; of the others, draining ones are in zones that
	// are being drained, and maybeAlive ones are left where there is nothing better.
	available, draining, maybeAlive []candidate
	// cold is how many others this host may send nothing to now, as they are cold.
	cold int
	// workers is how many of the pool are alive, whether or not this call may go there, load
	// what they have in requests.
	workers, load int
}

// meanLoad is the mean load of the pool's workers, in requests.
func (v poolView) meanLoad() float64 { return float64(v.load) / float64(max(1, v.workers)) }

// candidates are the workers that may take the call: those that are available, or where
// there are none, those that may be alive.
func (v poolView) candidates() []candidate {
	if available := withDraining(v.available, v.draining); len(available) > 0 {
		return available
	}
	return v.maybeAlive
}

// hasAvailable tells whether an available worker is left for the call.
func (t *transition) hasAvailable(c call) bool {
	v := t.poolView(c)
	return len(v.available)+len(v.draining) > 0
}

// poolView looks at the workers of the call's pool.
func (t *transition) poolView(c call) poolView {
	v := poolView{available: make([]candidate, 0, t.workers.Len())}
	for id, w := range t.workers.All() {
		if w.Pool != c.pool.ID || !w.mayHaveLoad() {
			continue
		}
		one := candidate{id: id, key: w.key, zone: w.Zone, load: t.load(w, t.now), usual: t.usualLoad(w, t.now), slots: w.Slots, cold: t.isBounded(c.pool, w)}
		v.workers++
		v.load += one.load
		if t.closed(w.Zone) || slices.Contains(c.tried, id) || w.backoffLeft(t.now) > 0 {
			continue
		}
		switch usable := w.available(t.now) && t.reachable(w.Zone); {
		case !t.takesCold(c.pool, w):
			v.cold++
		case usable && t.drained.IsDrained(w.Zone) && t.isHandedOver(c, w.Zone):
			v.draining = append(v.draining, one)
		case usable:
			v.available = append(v.available, one)
		case w.maybeAlive() && !t.drained.IsDrained(w.Zone):
			v.maybeAlive = append(v.maybeAlive, one)
		}
	}
	return v
}

// choosePlain draws one of the workers by their weights.
func (t *transition) choosePlain(c call, found []candidate) choice {
	rank(found, requestKey(c.req.ID))
	best, top := 0, math.Inf(-1)
	for i, w := range found {
		// The draw of weighted rendezvous hashing: the larger the weight, the nearer to 0.
		if drawn := math.Log(unit(w.preference)) / t.plainWeight(c, w); drawn > top {
			best, top = i, drawn
		}
	}
	picked := t.picked(found, best)
	picked.position = 0
	return picked
}

// unit is a number above 0 and up to 1 from a score.
func unit(score uint64) float64 { return (float64(score>>unitShift) + 1) / (1 << (64 - unitShift)) }

// unitShift leaves as many bits of a score as a float64 holds exactly.
const unitShift = 11

// plainWeight is by how much a plain worker is preferred: by the slots that it usually has
// free, and where it is in the host's own zone.
func (t *transition) plainWeight(c call, w candidate) float64 {
	free := max(leastFree*float64(w.slots), float64(w.slots)-w.usual)
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

// requestKey is the hash of a request's id, from which its draws come.
func requestKey(id ident.Request) hash.Key { return hash.Of(string(id)) }

// percent is the number of steps of a draw from a request's key.
const percent = 100

// rank gives each candidate its rendezvous score for a key.
func rank(found []candidate, key hash.Key) {
	for i := range found {
		found[i].preference = hash.Mix(key, found[i].key)
	}
}

// first returns the index of the most preferred candidate that fits, or -1.
func first(found []candidate, fits func(candidate) bool) int {
	at := -1
	for i, w := range found {
		if (at < 0 || w.preference > found[at].preference) && fits(w) {
			at = i
		}
	}
	return at
}

// picked is the choice of one candidate.
func (t *transition) picked(found []candidate, at int) choice {
	position := 0
	for _, w := range found {
		if w.preference > found[at].preference {
			position++
		}
	}
	w, _ := t.workers.Get(found[at].id)
	return choice{worker: w, position: position, candidates: len(found)}
}
