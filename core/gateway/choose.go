// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway

import (
	"slices"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
)

func requestKey(id ident.Request) hash.Key { return hash.Of(string(id)) }

// choice is where a try goes.
type choice struct {
	worker worker
	// cacheFrom is the engine that most likely keeps the prompt's shared parts,
	// where it is another one.
	cacheFrom string
	// mean is the pool's mean load, place the worker's in the order of
	// preference, of is how many there were.
	mean  float64
	place int
	of    int
}

// choose picks the worker for the call's next try.
func (t *turn) choose(c call) (choice, bool) {
	found := t.candidates(c)
	if len(found) == 0 {
		return choice{}, false
	}
	if c.pool.Engine {
		return t.chooseEngine(c, found), true
	}
	return choice{worker: *t.choosePlain(c, found), of: len(found)}, true
}

// candidates are the workers that may take the call: those in good health, or
// where there are none, all that may still live.
func (t *turn) candidates(c call) []*worker {
	ids := t.pools[c.pool.ID]
	good, rest := make([]*worker, 0, len(ids)), []*worker(nil)
	for _, id := range ids {
		w, _ := t.workers.Get(id)
		if slices.Contains(c.tried, id) {
			continue
		}
		if w.usable(t.now) {
			good = append(good, &w)
		} else if w.possible() {
			rest = append(rest, &w)
		}
	}
	if len(good) > 0 {
		return good
	}
	return rest
}

// chooseEngine takes the first engine in the order of the prompt's shared parts
// that has room under the bound. All hosts rank alike, so a prefix is read by
// few engines without any word between hosts. An engine that lacks it is told
// who ranks next to it and so has it most likely: after a spill the first, for
// the first itself, which may be new, the second.
func (t *turn) chooseEngine(c call, found []*worker) choice {
	total := 0
	for _, w := range found {
		total += t.load(*w, t.now)
	}
	mean := float64(total) / float64(len(found))
	limit := t.settings.LoadFactor*mean + t.settings.LoadSlack
	key := prefixKey(c)
	slices.SortFunc(found, func(a, b *worker) int { return byScore(key, a, b) })
	limit -= t.caution(c) * limit
	at := slices.IndexFunc(found, func(w *worker) bool {
		return float64(t.load(*w, t.now)+1) <= limit && t.load(*w, t.now) < w.Slots
	})
	if at < 0 {
		at = 0
		for i, w := range found {
			if t.load(*w, t.now) < t.load(*found[at], t.now) {
				at = i
			}
		}
	}
	if at > 0 {
		t.counters.Spilled++
	}
	picked := choice{worker: *found[at], mean: mean, place: at, of: len(found)}
	if c.pool.Moves && len(c.req.Prompt.Parts) > 1 && len(found) > 1 {
		source := 0
		if at == 0 {
			source = 1
		}
		picked.cacheFrom = found[source].Address
	}
	return picked
}

// Loads that other hosts told are a moment old; the more hosts, the more of them
// may take the same room at once.
const (
	minCaution  = 0.1
	maxCaution  = 0.5
	hostCaution = 0.006
)

// caution is the part of the bound that this request leaves free. It is drawn
// from its id, so that hosts turn away from a filling engine little by little
// and not all together.
func (t *turn) caution(c call) float64 {
	most := min(max(minCaution, hostCaution*float64(t.hosts)), maxCaution)
	return most * float64(uint64(requestKey(c.req.ID))%percent) / percent
}

const percent = 100

// byScore orders workers by their rendezvous score for key, the highest first.
func byScore(key hash.Key, a, b *worker) int {
	x, y := hash.Mix(key, a.key), hash.Mix(key, b.key)
	switch {
	case x > y:
		return -1
	case x < y:
		return 1
	}
	return 0
}

// prefixKey identifies the parts of the prompt that requests share: all but
// the last one.
func prefixKey(c call) hash.Key {
	parts := c.req.Prompt.Parts
	if len(parts) < 2 {
		return requestKey(c.req.ID)
	}
	ids := make([]string, 0, len(parts))
	ids = append(ids, string(c.req.Prompt.Model))
	for _, p := range parts[:len(parts)-1] {
		ids = append(ids, p.ID)
	}
	return hash.Of(ids...)
}

// farPenalty is how much fuller a worker of another zone counts, in slots.
const farPenalty = 0.5

// choosePlain takes the worker with the lowest share of its slots in use.
func (t *turn) choosePlain(c call, found []*worker) *worker {
	key := requestKey(c.req.ID)
	return slices.MinFunc(found, func(a, b *worker) int {
		x, y := t.fullness(a), t.fullness(b)
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return byScore(key, a, b)
	})
}

func (t *turn) fullness(w *worker) float64 {
	used := float64(t.load(*w, t.now))
	if w.Zone != t.settings.Zone {
		used += farPenalty
	}
	return used / float64(max(1, w.Slots))
}
