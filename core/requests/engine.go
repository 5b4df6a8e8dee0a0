// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"cmp"

	"github.com/yardhall/yardhall/core/hash"
)

// A prompt goes to the first engine with room in the rendezvous order of its shared parts, or
// else to the least loaded one. All hosts compute the same order, so few engines read a given
// prefix, without coordination. In nine simulations 0.76 of the requests by value were served with this
// order, 0.49 without it. An engine has room if
//
//	smoothed and latest load + 1 <= (LoadFactor x mean load of the candidates + LoadSlack) x (1 - headroom)
//	latest load <= LoadFactor x mean load of the pool + LoadSlack
//
// and, while the loads of other hosts are aged, if this host has less than its part of it (part.go).
// The second is the bound on load relative to the fleet's mean, which includes engines that
// accept nothing new, because their zone is drained or they are leaving. The first keeps engines
// below that bound: the smoothed load does not oscillate (load.go), the latest one shows first that an engine
// fills. It uses the mean of the candidates:
// by the pool's mean, most of them would seem full while part of the pool accepts nothing, and
// the remaining few would get all the traffic. In a saturated pool, prompts with a cheap prefix
// follow another rule (subset.go).
//
// Headroom is the fraction of the bound that a request leaves free, drawn from its id. Counts of
// other hosts' requests are out of date, and the more hosts there are, the more of them may use
// the same room at once; headroom makes them move away from a filling engine gradually. The more
// tokens a request shares with others, the smaller its headroom, as a cached prefix saves it more
// time: a quarter of a second to the first token with 10,000 tokens, 10 ms with a few hundred.
// Prompts that share little thus make room for those that share much. A request that must run at most
// once and shares little prefers engines in the host's zone; see prefersOwnZone.
//
// Inputs: load estimates in requests (load.go), slots, the prompt's parts in tokens, and the
// number of entry hosts.
const (
	// headroomPerHost, a fraction of the bound, reaches maxHeadroom at 84 hosts: with that many,
	// whose counts were 0.6 s old, engines exceeded the bound without headroom, and none with it.
	headroomPerHost = maxHeadroom / 84
	minHeadroom     = 0.1
	maxHeadroom     = 0.7
	// halfHeadroomTokens is the number of shared tokens that halves the headroom. Reading that many
	// takes an engine about ten steps of a batch, which callers begin to notice.
	halfHeadroomTokens = 2048
	// maxSharedRatio is the largest ratio of shared tokens to the request's own tokens at which
	// it prefers the host's zone: each zone then reads the shared parts separately, which must
	// not cost much more than the request itself. The preference keeps 0.43 in 100 requests from
	// failing.
	maxSharedRatio = 4
)

// chooseEngine picks an engine for a prompt.
func (t *transition) chooseEngine(c call, candidates []candidate, mean float64) choice {
	limits := t.roomLimits(c, mean, t.wholeMean(meanLoadOf(candidates)))
	scoreCandidates(candidates, prefixKey(c))
	bound := limits.latest
	hasRoom := func(w candidate) bool { return limits.admits(&w) }
	index := -1
	margin := marginOf(t.wholeMean(meanLoadOf(candidates)), bound)
	if margin < saturatedMargin && hasCheapPrefix(c) {
		index = t.leastLoadedInSubset(c, candidates)
	}
	if index < 0 && prefersOwnZone(c) {
		index = highestScored(candidates, func(w candidate) bool { return w.zone == t.settings.Zone && hasRoom(w) })
	}
	if index < 0 {
		least := t.enginesForPrefix(c, len(candidates), mean, bound)
		if margin < nearSaturatedMargin && hasCheapPrefix(c) {
			least = max(least, min(nearSaturatedEngines, len(candidates)))
		}
		index = t.chooseInSpread(c, candidates, least, mean, limits)
	}
	if index < 0 {
		index = highestScored(candidates, hasRoom)
	}
	if index < 0 {
		index = leastLoaded(candidates, t.hasAgedLoads(t.now))
	}
	return t.completeEngineChoice(c, t.choiceOf(candidates, index), mean, nil)
}

// chooseInSpread returns the index of the engine for a prompt whose prefix is spread over a number of engines at least; -1 if it is not spread, or none
// of them has room.
func (t *transition) chooseInSpread(c call, candidates []candidate, least int, mean float64, limits roomLimits) int {
	bound := limits.latest
	weightOfFirst := float64(firstWeight)
	if t.enginesForDelay(c, mean, bound) > 1 {
		weightOfFirst = 1
	}
	spread := t.withoutUncounted(c, candidates, spreadSet(candidates, least, mean, bound), mean, bound)
	return drawFromSpread(c, candidates, spread, weightOfFirst, limits)
}

// completeEngineChoice counts a choice and adds the source of its prefix. first are the first engines
// in the rendezvous order, in any state; nil if they are not known.
func (t *transition) completeEngineChoice(c call, picked choice, mean float64, first []candidate) choice {
	picked.meanLoad = mean
	if picked.position > 0 {
		t.counters.Overflowed++
	}
	if c.pool.Moves && len(c.req.Prompt.Parts) > 1 {
		picked.cacheFrom = t.cacheSource(c, picked.worker, first)
	}
	return picked
}

// meanLoadOf returns the mean load of the candidates.
func meanLoadOf(candidates []candidate) float64 {
	total := 0
	for _, w := range candidates {
		total += w.load
	}
	return float64(total) / float64(len(candidates))
}

// wholeMean returns the mean load of engines, given that of the requests known here. If the loads of other hosts
// are not known, these are assumed to have as many requests each as this host.
func (t *transition) wholeMean(mean float64) float64 {
	if t.hostCount > 1 && t.now.Sub(t.reportedAsOf) > reportLifetime {
		return mean * float64(t.hostCount)
	}
	return mean
}

// loadBound returns the bound on an engine's load, without headroom.
func (t *transition) loadBound(mean float64) float64 {
	return t.settings.LoadFactor*mean + t.settings.LoadSlack
}

// headroom returns the fraction of the bound that a request leaves free.
func (t *transition) headroom(c call) float64 {
	limit := min(max(minHeadroom, headroomPerHost*float64(t.hostCount)), maxHeadroom)
	limit *= halfHeadroomTokens / float64(halfHeadroomTokens+c.req.Prompt.sharedTokens())
	return limit * float64(uint64(requestKey(c.req.ID))%drawSteps) / drawSteps
}

// prefersOwnZone reports whether a request prefers engines in its host's zone. A request that
// must run at most once is lost in a partition between its host's zone and the engine's.
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

// leastLoaded returns the index of the least loaded candidate; the highest-scored one among
// equals. By aged loads of others all hosts would choose the same engine for as long as they are aged, so
// only this host's own requests are compared then.
func leastLoaded(candidates []candidate, aged bool) int {
	index := 0
	for i, w := range candidates {
		best := candidates[index]
		byLoad := cmp.Compare(w.load, best.load)
		if aged {
			byLoad = cmp.Compare(w.own, best.own)
		}
		if byLoad < 0 || byLoad == 0 && w.score > best.score {
			index = i
		}
	}
	return index
}
