// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"cmp"
	"math"
	"slices"

	"github.com/yardhall/yardhall/core/hash"
)

// When requests that share one prefix surge, hundreds of hosts send them to the same engine
// before they learn of each other's requests, and then all at once to the next one. The prompts
// of a prefix are therefore spread over the fewest engines of its rendezvous order for which the
// load beyond the mean is at most spreadFraction of the bound each. As that load is counted over
// all engines in the set, the set stays as large as the surge needs, and is a single engine without
// a surge. A popular prefix is spread from the start (popular.go).
//
// An engine may be in the sets of several prefixes, as each prefix has its own order. Within a set an
// engine is therefore drawn, by request id, with the square of its room as its weight: one that is
// in more sets than others gets a smaller part of each.
//
// Inputs: load estimates in requests (load.go), the mean, and the bound.

// spreadFraction is the fraction of an engine's load bound that one surging prefix may use. The
// rest is left for the engine's other load and for requests not reported yet.
const spreadFraction = 0.5

// firstWeight multiplies the weight of the first engine of a prefix, which is the most likely to have it cached. It does not where counts of prompts are
// late: if the prefix has become popular meanwhile, that engine has what was sent before.
const firstWeight = 2

// spreadSet returns the indexes of the engines over which a prefix is spread, at least some number of them, the
// most preferred first; nil if the first one alone is enough.
func spreadSet(candidates []candidate, least int, mean, bound float64) []int {
	first := highestScored(candidates, func(candidate) bool { return true })
	if least <= 1 && !isSurging(candidates[first], mean, bound) {
		return nil
	}
	order := make([]int, len(candidates))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(candidates[b].score, candidates[a].score) })
	excess := 0.0
	for n, i := range order {
		excess += max(0, float64(candidates[i].load)-mean)
		if n+1 >= least && excess <= float64(n+1)*spreadFraction*bound {
			return order[:n+1]
		}
	}
	return order
}

// isSurging reports whether the first engine of a prefix has more load than one prefix may use.
func isSurging(first candidate, mean, bound float64) bool {
	return float64(first.load)-mean > spreadFraction*bound
}

// drawFromSpread draws an engine with room from the set by the request's id; -1 if none has room. weightOfFirst multiplies the weight of the first one.
func drawFromSpread(c call, candidates []candidate, engines []int, weightOfFirst float64, limits roomLimits) int {
	index, best, key := -1, math.Inf(-1), requestKey(c.req.ID)
	for place, i := range engines {
		w := &candidates[i]
		if !limits.admits(w) {
			continue
		}
		weight := limits.room(w) * limits.room(w)
		if place == 0 {
			weight *= weightOfFirst
		}
		if drawn := math.Log(unit(hash.Mix(key, w.key))) / weight; drawn > best {
			index, best = i, drawn
		}
	}
	return index
}
