// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"cmp"
	"math"
	"slices"

	"github.com/yardhall/yardhall/core/hash"
)

// A pool is saturated if the bound on an engine's load is less than saturatedMargin deviations of
// a random load above the mean, as when part of the pool accepts nothing new. Counts of other
// hosts' requests are about as old as requests take, so choosing by them distributes load at
// random at best.
//
// While the bound is less than nearSaturatedMargin deviations above the mean, prompts with a cheap prefix are spread over the first few
// engines of its order by their room (spread.go). With one engine for each prefix, loads would vary with the number of prefixes
// of which an engine is the first one.
//
// In a saturated pool each host sends prompts with a cheap prefix to the least loaded of a small subset of
// engines, drawn by the host's name. It counts its own requests there exactly, and few other
// hosts use the same engines, so loads vary less than random ones. Loads are compared by the sum
// of the smoothed and the latest load: by the latest alone, all hosts of an engine switch to it
// together; the smoothed load alone shows only seconds later that many hosts have drawn the same
// engine. Prompts that share many tokens stay with the engine that has their prefix cached.
//
// A host also uses the cold engines to which it may send the request (cold.go), as they sustain
// nearly the rate that warm ones get.
//
// Inputs: load estimates in requests (load.go), the host's name, the number of entry hosts, and
// the prompt's parts in tokens.
const (
	// saturatedMargin and nearSaturatedMargin are numbers of standard deviations of a Poisson distribution;
	// nearSaturatedEngines is over how many engines a prefix is spread below the second.
	saturatedMargin      = 2.1
	nearSaturatedMargin  = 3
	nearSaturatedEngines = 3
	// hostsPerEngine is the average number of hosts that use an engine; minSubsetSize is the
	// least number of engines that a host uses.
	hostsPerEngine = 3.5
	minSubsetSize  = 3
	// cheapPrefixTokens is the number of shared tokens below which any engine may read the prefix
	// again.
	cheapPrefixTokens = 4096
)

// marginOf returns by how many standard deviations of a random load the bound is above the mean.
func marginOf(mean, bound float64) float64 { return (bound - mean) / math.Sqrt(mean) }

// leastLoadedInSubset returns the index of the least loaded engine with free slots in the host's
// subset, or -1.
func (t *transition) leastLoadedInSubset(c call, candidates []candidate) int {
	index := -1
	for _, i := range t.hostSubset(c, candidates) {
		if w := candidates[i]; w.load < w.slots && (index < 0 || isLessLoaded(w, candidates[index])) {
			index = i
		}
	}
	return index
}

// isLessLoaded reports whether a has less smoothed plus latest load than b; ties are broken by
// score.
func isLessLoaded(a, b candidate) bool {
	byLoad := cmp.Compare(a.smoothedLoad+float64(a.load), b.smoothedLoad+float64(b.load))
	return byLoad < 0 || byLoad == 0 && a.score > b.score
}

// hostSubset returns the indexes of the engines drawn by the host's name, in its own zone if the
// call prefers that, and of the cold engines of all zones that may take this call.
func (t *transition) hostSubset(c call, candidates []candidate) []int {
	inZone := prefersOwnZone(c) && slices.ContainsFunc(candidates, func(w candidate) bool { return w.zone == t.settings.Zone })
	var order []int
	for i, w := range candidates {
		if !inZone || w.zone == t.settings.Zone {
			order = append(order, i)
		}
	}
	key := hash.Of(string(t.settings.Host))
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(hash.Mix(key, candidates[b].key), hash.Mix(key, candidates[a].key))
	})
	size := int(math.Ceil(hostsPerEngine * float64(len(order)) / float64(max(1, t.hostCount))))
	size = min(len(order), max(minSubsetSize, size))
	return append(order[:size], coldCandidates(candidates)...)
}

// coldCandidates returns the indexes of the cold engines.
func coldCandidates(candidates []candidate) []int {
	var out []int
	for i, w := range candidates {
		if w.coldLimited {
			out = append(out, i)
		}
	}
	return out
}

// hasCheapPrefix reports whether any engine can read the prompt's shared parts at little cost.
func hasCheapPrefix(c call) bool { return c.req.Prompt.sharedTokens() < cheapPrefixTokens }
