// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"slices"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
)

// An attempt goes to one of the workers of the request's pool that the request has not
// tried: to one that is available and whose zone is reachable, or where there is none, to
// one that may still be alive; to none of a drained zone (drained.go). Among the candidates the rule of the pool decides: for
// engines that of engine.go, for plain workers the one below.
//
// A plain worker is taken by the share of its slots in use, the lowest first; equals are
// taken in the rendezvous order of the request's id. A worker of another zone counts as
// fuller by a penalty in requests, so that a request leaves its host's zone only where
// that saves it a queue.
//
// Inputs: load estimates (load.go), slots, zones, and whether the route is repeatable.
const (
	// remotePenalty is for requests that may run again, in requests. Chosen, not
	// measured: half a request prefers the own zone among equals only.
	remotePenalty = 0.5
	// remotePenaltyOnce is for those that must not run twice: they are lost where the
	// zones lose each other, and those within a zone are not. Measured on nine simulated
	// days, with the like preference for engines: failures 2.80 to 2.37 in 100.
	remotePenaltyOnce = 2.0
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
}

// choose picks the worker for the call's next attempt; it answers false where there is
// none.
func (t *transition) choose(c call) (choice, bool) {
	view := t.poolView(c)
	found := view.candidates()
	if len(found) == 0 {
		return choice{onlyCold: view.cold > 0}, false
	}
	if c.pool.Engine {
		return t.chooseEngine(c, found, view.meanLoad()), true
	}
	return t.choosePlain(c, found), true
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
		one := candidate{id: id, key: w.key, zone: w.Zone, load: t.load(w, t.now), usual: t.usualLoad(w, t.now), slots: w.Slots}
		v.workers++
		v.load += one.load
		if t.closed(w.Zone) || slices.Contains(c.tried, id) {
			continue
		}
		switch usable := w.available(t.now) && t.reachable(w.Zone); {
		case !t.takesCold(c.pool, w):
			v.cold++
		case usable && t.drained.Has(w.Zone):
			v.draining = append(v.draining, one)
		case usable:
			v.available = append(v.available, one)
		case w.maybeAlive() && !t.drained.Has(w.Zone):
			v.maybeAlive = append(v.maybeAlive, one)
		}
	}
	return v
}

// choosePlain takes the worker with the lowest share of its slots in use.
func (t *transition) choosePlain(c call, found []candidate) choice {
	rank(found, requestKey(c.req.ID))
	best := 0
	for i, w := range found {
		share, least := t.slotShare(c, w), t.slotShare(c, found[best])
		if share < least || share == least && w.preference > found[best].preference {
			best = i
		}
	}
	picked := t.picked(found, best)
	picked.position = 0
	return picked
}

// slotShare is the part of a worker's slots in use, with the penalty of another zone.
func (t *transition) slotShare(c call, w candidate) float64 {
	used := float64(w.load)
	switch {
	case w.zone == t.settings.Zone:
	case c.route.Repeatable():
		used += remotePenalty
	default:
		used += remotePenaltyOnce
	}
	return used / float64(max(1, w.slots))
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
