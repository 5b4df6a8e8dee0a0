// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"github.com/yardhall/yardhall/core/hash"
)

// A prompt goes to the first engine, in the rendezvous order of its shared parts, that has
// room for it; where there is none, to the least loaded one. All hosts rank alike, so a prefix
// is read by few engines although hosts agree on nothing. An engine has room where
//
//	usual load + 1 <= (LoadFactor x mean load of the candidates + LoadSlack) x (1 - headroom)
//	latest load <= LoadFactor x mean load of the pool + LoadSlack
//
// The second is the bound on the fleet's mean: engines count in it that take nothing new, as
// their zone is drained or they leave. The first keeps engines below it on the whole, by
// loads that do not swing (load.go). Where some take nothing new the others usually have more,
// so it goes by these: by the pool's mean most of them would seem full, and the few others
// would get what all turn away.
//
// Where engines are crowded, prompts that share little go by another rule: crowded.go.
//
// Headroom, drawn from the request's id, is what a request leaves free of the bound:
// counts of other hosts' requests are a moment old, and the more hosts there are, the
// more of them may take the same room at once. So hosts turn from a filling engine little
// by little. The more tokens a request shares with others, the less it leaves: whoever
// finds its prefix read has the first token a quarter of a second earlier where the prefix
// is of ten thousand tokens, and ten milliseconds where it is of a few hundred. So what
// shares little makes room for what shares much, and both stay under the bound. A request
// that must not run twice and shares little prefers the engines of its host's zone; see
// prefersOwnZone.
//
// Inputs: load estimates in requests (load.go), slots, the prompt's parts in tokens, how
// many entry hosts there are. Measured on nine simulated days: 0.76 of the worth served
// with this order, 0.49 without it; busiest engine over the mean 1.1 to 1.4.
const (
	// headroomPerHost, as a part of the bound, reaches maxHeadroom at 84 hosts: with as
	// many hosts, whose counts were 0.6 s old, engines went over the bound without
	// headroom, and none did with it.
	headroomPerHost = maxHeadroom / 84
	// minHeadroom and maxHeadroom bound it. Chosen, not measured.
	minHeadroom = 0.1
	maxHeadroom = 0.7
	// halfHeadroomTokens shared tokens halve the headroom: reading them takes an engine as
	// long as some ten steps of a batch, which callers begin to notice.
	halfHeadroomTokens = 2048
	// maxSharedRatio is how many times the tokens that are the request's own its shared
	// parts may have for it to prefer its host's zone: each zone then reads the shared
	// parts for itself, which must not cost much more than the request. Chosen, not
	// measured; the preference saves 0.43 in 100 requests from failing.
	maxSharedRatio = 4
)

// chooseEngine picks an engine for a prompt.
func (t *transition) chooseEngine(c call, found []candidate, mean float64) choice {
	usualBound := t.fullBound(meanOf(found)) * (1 - t.headroom(c))
	rank(found, prefixKey(c))
	full := t.fullBound(mean)
	hasRoom := func(w candidate) bool {
		return w.usual+1 <= usualBound && float64(w.load) <= full && w.load < w.slots
	}
	at := -1
	if isCrowded(meanOf(found), full) && sharesLittle(c) {
		at = t.leastOfOwn(c, found)
	}
	if at < 0 && prefersOwnZone(c) {
		at = first(found, func(w candidate) bool { return w.zone == t.settings.Zone && hasRoom(w) })
	}
	if at < 0 {
		at = t.drawn(c, spread(found, mean, full), func(i int) bool { return hasRoom(found[i]) })
	}
	if at < 0 {
		at = first(found, hasRoom)
	}
	if at < 0 {
		at = leastLoaded(found)
	}
	picked := t.picked(found, at)
	picked.mean = mean
	if picked.position > 0 {
		t.counters.Overflowed++
	}
	if c.pool.Moves && len(c.req.Prompt.Parts) > 1 {
		picked.cacheFrom = t.cacheSource(c, picked.worker)
	}
	return picked
}

// meanOf is the mean load of some candidates.
func meanOf(found []candidate) float64 {
	total := 0
	for _, w := range found {
		total += w.load
	}
	return float64(total) / float64(len(found))
}

// fullBound is the bound on an engine's load, without headroom.
func (t *transition) fullBound(mean float64) float64 {
	return t.settings.LoadFactor*mean + t.settings.LoadSlack
}

// headroom is the part of the bound that a request leaves free.
func (t *transition) headroom(c call) float64 {
	most := min(max(minHeadroom, headroomPerHost*float64(t.hosts)), maxHeadroom)
	most *= halfHeadroomTokens / float64(halfHeadroomTokens+c.req.Prompt.shared())
	return most * float64(uint64(requestKey(c.req.ID))%percent) / percent
}

// prefersOwnZone tells whether a request prefers the engines of its host's zone: one that
// must not run twice is lost where its zone and the engine's lose each other.
func prefersOwnZone(c call) bool {
	p := c.req.Prompt
	if c.route.Repeatable() || len(p.Parts) == 0 {
		return false
	}
	own := p.Parts[len(p.Parts)-1].Tokens
	return p.TokensIn-own <= maxSharedRatio*(own+p.TokensOut)
}

// prefixKey identifies the parts of the prompt that requests share: all but the last one.
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

// leastLoaded returns the index of the most preferred one of the least loaded candidates.
func leastLoaded(found []candidate) int {
	at := 0
	for i, w := range found {
		best := found[at]
		if w.load < best.load || w.load == best.load && w.preference > best.preference {
			at = i
		}
	}
	return at
}
