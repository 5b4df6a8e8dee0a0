// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"slices"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
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

// candidate is what a choice needs of one worker; it is small, as a choice looks
// at every worker of a pool.
type candidate struct {
	id    ident.Target
	key   hash.Key
	zone  ident.Zone
	load  int
	slots int
	// score is the place in the order of preference; the highest goes first.
	score uint64
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
	return t.choosePlain(c, found), true
}

// usable are the workers in good health that may take the call.
func (t *turn) usable(c call) []candidate {
	good, _ := t.split(c)
	return good
}

// candidates are the workers that may take the call: those in good health, or
// where there are none, all that may still live.
func (t *turn) candidates(c call) []candidate {
	good, rest := t.split(c)
	if len(good) > 0 {
		return good
	}
	return rest
}

// split returns the workers that may take the call, those in good health and those
// that may still live.
func (t *turn) split(c call) (good, rest []candidate) {
	good = make([]candidate, 0, t.workers.Len())
	for id, w := range t.workers.All() {
		if w.Pool != c.pool.ID || slices.Contains(c.tried, id) {
			continue
		}
		one := candidate{id: id, key: w.key, zone: w.Zone, load: t.load(w, t.now), slots: w.Slots}
		if w.usable(t.now) && t.reaches(w.Zone) {
			good = append(good, one)
		} else if w.possible() {
			rest = append(rest, one)
		}
	}
	return good, rest
}

// chooseEngine takes the first engine in the order of the prompt's shared parts
// that has room under the bound, or where none has, the least loaded. All hosts
// rank alike, so a prefix is read by few engines without any word between hosts.
// An engine that lacks it is told who ranks next to it and so has it most likely:
// after a spill the first, for the first itself, which may be new, the second.
func (t *turn) chooseEngine(c call, found []candidate) choice {
	total := 0
	for _, w := range found {
		total += w.load
	}
	mean := float64(total) / float64(len(found))
	limit := t.settings.LoadFactor*mean + t.settings.LoadSlack
	limit -= t.caution(c) * limit
	rank(found, prefixKey(c))
	room := func(w candidate) bool { return float64(w.load+1) <= limit && w.load < w.slots }
	at := -1
	if staysNear(c) {
		at = first(found, func(w candidate) bool { return w.zone == t.settings.Zone && room(w) })
	}
	if at < 0 {
		at = first(found, room)
	}
	if at < 0 {
		at = leastLoaded(found)
	}
	picked := t.picked(found, at)
	picked.mean = mean
	if picked.place > 0 {
		t.counters.Spilled++
	}
	if c.pool.Moves && len(c.req.Prompt.Parts) > 1 {
		picked.cacheFrom = t.cacheFor(c, picked.worker)
	}
	return picked
}

// cacheFor is the address of the engine that most likely keeps what a prompt shares,
// other than the one picked: the one that ranks highest of all that are alive. That may
// be one that takes no request now, as it leaves or has just failed this one. Empty for
// none.
func (t *turn) cacheFor(c call, picked worker) string {
	key, best, top := prefixKey(c), "", uint64(0)
	for id, w := range t.workers.All() {
		if w.Pool != c.pool.ID || id == picked.ID || !t.keeps(c, w) {
			continue
		}
		if score := hash.Mix(key, w.key); best == "" || score > top {
			best, top = w.Address, score
		}
	}
	return best
}

// keeps tells whether an engine may give what it keeps: it is alive and within reach,
// and if it was tried, it answered.
func (t *turn) keeps(c call, w worker) bool {
	serving := w.State == registry.Ready || w.State == registry.Draining
	if !serving || w.replaced || w.health.Ejected(t.now) || !t.reaches(w.Zone) {
		return false
	}
	return w.ID == c.holder || !slices.Contains(c.tried, w.ID)
}

// nearShare times the tokens that a request makes an engine read and make for itself
// is how long the parts that it shares may be for it to stay in its zone: each zone
// then reads them once, so that they must not cost much more than the request.
const nearShare = 4

// staysNear tells whether a request prefers the engines of its host's zone: one that
// must not run twice is lost where its zone and the engine's lose each other, and
// those within a zone do not.
func staysNear(c call) bool {
	p := c.req.Prompt
	if c.route.Repeatable() || len(p.Parts) == 0 {
		return false
	}
	own := p.Parts[len(p.Parts)-1].Tokens
	return p.TokensIn-own <= nearShare*(own+p.TokensOut)
}

// rank gives each candidate its rendezvous score for a key.
func rank(found []candidate, key hash.Key) {
	for i := range found {
		found[i].score = hash.Mix(key, found[i].key)
	}
}

// first returns the highest ranked candidate that fits, or -1.
func first(found []candidate, fits func(candidate) bool) int {
	at := -1
	for i, w := range found {
		if (at < 0 || w.score > found[at].score) && fits(w) {
			at = i
		}
	}
	return at
}

// leastLoaded returns the highest ranked one of the least loaded candidates.
func leastLoaded(found []candidate) int {
	at := 0
	for i, w := range found {
		best := found[at]
		if w.load < best.load || w.load == best.load && w.score > best.score {
			at = i
		}
	}
	return at
}

// picked is the choice of one candidate.
func (t *turn) picked(found []candidate, at int) choice {
	place := 0
	for _, w := range found {
		if w.score > found[at].score {
			place++
		}
	}
	w, _ := t.workers.Get(found[at].id)
	return choice{worker: w, place: place, of: len(found)}
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

// farPenalty is how much fuller a worker of another zone counts, in slots; farRisk is
// the same for a request that must not run twice.
const (
	farPenalty = 0.5
	farRisk    = 2.0
)

// choosePlain takes the worker with the lowest share of its slots in use.
func (t *turn) choosePlain(c call, found []candidate) choice {
	rank(found, requestKey(c.req.ID))
	at := 0
	for i, w := range found {
		x, y := t.fullness(c, w), t.fullness(c, found[at])
		if x < y || x == y && w.score > found[at].score {
			at = i
		}
	}
	picked := t.picked(found, at)
	picked.place = 0
	return picked
}

func (t *turn) fullness(c call, w candidate) float64 {
	used := float64(w.load)
	switch {
	case w.zone == t.settings.Zone:
	case c.route.Repeatable():
		used += farPenalty
	default:
		used += farRisk
	}
	return used / float64(max(1, w.slots))
}
