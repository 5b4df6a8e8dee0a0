// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"cmp"
	"math"
	"slices"

	"github.com/yardhall/yardhall/core/hash"
)

// Engines are crowded where the bound on their load is less than crowdedDeviations of a random
// load above their mean: some of the pool take nothing new, as their zone is drained or they want
// nothing, and the others have the work of all. Hosts that act on counts half a second old, each
// by itself, load engines at random at best, and then too many of the requests reach an engine
// above the bound.
//
// So each host then sends prompts that share little to a few engines of its own, drawn from its
// name: to the one of them with the least load. It counts its own requests exactly, and as few
// other hosts send to the same engines, these get the requests of each of them evenly. The load
// compared is the mean of the usual and the latest one: by the latest alone the few hosts of an
// engine turn to it together, by the usual alone an engine that more hosts have drawn is found out
// seconds late. Prompts that share much stay with the engine that has read them.
//
// Cold engines are among those of each host that may send them a request (cold.go): they bear
// nearly what a warm one gets, and would otherwise wait for the few prompts that prefer them at
// just these hosts. Measured as below, with 39 engines replaced within five seconds by ones that
// are cold for three: 0.027, 0.027 and 0.025 without them, 0.021, 0.017 and 0.016 with them; cold for
// six, 0.036, 0.029 and 0.027, and 0.021, 0.023 and 0.025.
//
// Inputs: load estimates in requests (load.go), the host's name, how many entry hosts there are,
// the prompt's parts in tokens. Measured with 72 simulated hosts before 90 engines, a third of them
// drained, four seeds: 0.015, 0.022, 0.013 and 0.024 of the requests reach an engine above the
// bound, 0.034, 0.048, 0.037 and 0.057 without the rule; in a surge of 1.4 0.023 to 0.029, and 0.046
// to 0.052. Comparing only the latest load gave 0.020 to 0.031 where both gave 0.012 to 0.017, only
// the usual one 0.028 and 0.048. It costs, while engines are crowded, 0.023 to 0.030 of all tokens
// read again instead of 0.009, and 0.23 moved instead of 0.13.
const (
	// crowdedDeviations is below what engines have where all take work, 3 and more by the bound's
	// slack, and above the 1.8 to 2 of two thirds of them.
	crowdedDeviations = 2.1
	// hostsPerEngine is how many hosts send to an engine on average, fewestOwn how many engines
	// of its own a host has at least. Three each gave 0.012 to 0.017 above, two 0.028 to 0.055,
	// four 0.018 to 0.026.
	hostsPerEngine = 3.5
	fewestOwn      = 3
	// shortShared is the number of shared tokens below which a prompt counts as sharing little:
	// an engine reads them in less than a tenth of a second.
	shortShared = 4096
)

// isCrowded tells whether the mean load of engines leaves too little room below a bound for
// loads to vary.
func isCrowded(mean, bound float64) bool {
	return bound-mean < crowdedDeviations*math.Sqrt(max(mean, 1))
}

// leastOfOwn is the least loaded with free slots of the host's own engines for a call; -1 where
// there is none.
func (t *transition) leastOfOwn(c call, found []candidate) int {
	at := -1
	for _, i := range t.ownEngines(c, found) {
		if w := found[i]; w.load < w.slots && (at < 0 || isLessLoaded(w, found[at])) {
			at = i
		}
	}
	return at
}

// isLessLoaded compares two engines by their usual and latest loads, and by preference where
// these are the same.
func isLessLoaded(a, b candidate) bool {
	byLoad := cmp.Compare(a.usual+float64(a.load), b.usual+float64(b.load))
	return byLoad < 0 || byLoad == 0 && a.preference > b.preference
}

// ownEngines are the engines that the host's name draws, in its zone where the call prefers that,
// and the cold ones of all zones that it may send this request to.
func (t *transition) ownEngines(c call, found []candidate) []int {
	inZone := prefersOwnZone(c) && slices.ContainsFunc(found, func(w candidate) bool { return w.zone == t.settings.Zone })
	var order []int
	for i, w := range found {
		if !inZone || w.zone == t.settings.Zone {
			order = append(order, i)
		}
	}
	key := hash.Of(string(t.settings.Host))
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(hash.Mix(key, found[b].key), hash.Mix(key, found[a].key))
	})
	each := int(math.Ceil(hostsPerEngine * float64(len(order)) / float64(max(1, t.hosts))))
	each = min(len(order), max(fewestOwn, each))
	return append(order[:each], coldOnes(found)...)
}

// coldOnes are the cold engines among those found.
func coldOnes(found []candidate) []int {
	var out []int
	for i, w := range found {
		if w.cold {
			out = append(out, i)
		}
	}
	return out
}

// sharesLittle tells whether a prompt can be read anywhere at little cost.
func sharesLittle(c call) bool { return c.req.Prompt.shared() < shortShared }
