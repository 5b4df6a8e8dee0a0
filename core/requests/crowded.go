// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"cmp"
	"math"
	"slices"

	"github.com/yardhall/yardhall/core/hash"
)

// Engines are crowded where the bound on their load is less than crowdedDeviations of a random
// load above their mean: some of the pool take nothing new, as their zone is drained or they back
// off, and the others serve the requests of all. Counts of other hosts are about as old as requests
// are, so that hosts which decide by them load engines at random at best.
//
// Each host then sends prompts that share little to a few engines drawn from its name, and to the
// least loaded of these. Its own requests there it counts exactly, and few other hosts use the same
// engines, so that their loads vary less than random ones. Loads are compared by the mean of the
// usual and the latest one: the latest alone makes the hosts of an engine turn to it together, and
// the usual one alone shows seconds late that many hosts have drawn it. Prompts that share much stay
// with the engine that has read them.
//
// A host also uses the cold engines that it may send the request to (cold.go), as they bear nearly
// as much as warm ones get.
//
// Inputs: load estimates in requests (load.go), the host's name, the number of entry hosts, the
// prompt's parts in tokens.
const (
	// crowdedDeviations is a number of standard deviations of a Poisson distribution.
	crowdedDeviations = 2.1
	// hostsPerEngine is how many hosts use an engine on average, fewestOwn how many engines a
	// host uses at least.
	hostsPerEngine = 3.5
	fewestOwn      = 3
	// shortShared is a number of tokens: a prompt that shares fewer is cheap to read anywhere.
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
