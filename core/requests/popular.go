// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"math"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/popularity"
)

// The prompts of a popular prefix are spread over several engines before loads show that the first one is full,
// as all hosts together can fill an engine faster than they learn of each other's requests. How popular a prefix is follows from the
// counts of all hosts' latest prompts (package popularity); while these are not known, from this host's own ones, which are a sample of
// those of the fleet. The prefix is spread over the first engines of its rendezvous order, as many as its expected share of the pool's
// load needs if it uses popularFraction of the bound of each. All hosts see about the same share, so they use about the same engines.
//
// A prefix may become popular within the time in which counts are reported and returned, so the longer that takes, the more engines each prefix is
// spread over: as many as have room for the prompts that may begin meanwhile with one prefix. With prompt replies that is one.
//
// A prefix is popular if significantly more prompts have it than one engine takes by that rule. A fixed number of occurrences would
// spread usual prefixes by chance, and so have more engines read them.
//
// Inputs: counts of prompts by prefix and their delay (prefixcounts.go), the prefixes of this host's latest prompts to the pool, the mean load, and
// the bound.
const (
	// recentPrompts is the size of the sample. A prefix counts as popular if it occurs minOccurrences times in it, or
	// minOccurrencesAtFirst times among the first smallSample prompts.
	recentPrompts         = 64
	minOccurrences        = 3
	smallSample           = 16
	minOccurrencesAtFirst = 2
	// popularFraction is the fraction of an engine's load bound that a popular prefix may use. The mean load of
	// other prefixes is just below half of the bound.
	popularFraction = 0.2
	// minSample is the number of prompts from which a share is estimated at least.
	minSample = 8
	// surgeShare is the share of a pool's prompts that may get one prefix before hosts know of it.
	surgeShare = 0.3
	// maxUnreported bounds the prefixes that wait for a report.
	maxUnreported = 256
)

// recentPrefixes holds the prefixes of the latest prompts to a pool. The zero value holds none.
type recentPrefixes struct {
	keys [recentPrompts]hash.Key
	seen int
}

// with returns the sample with one more prompt, in place of the oldest one.
func (r recentPrefixes) with(prefix hash.Key) recentPrefixes {
	r.keys[r.seen%recentPrompts] = prefix
	r.seen++
	return r
}

// share returns the estimated share of a popular prefix among all prompts; 0 if the prefix is not popular.
func (r recentPrefixes) share(prefix hash.Key) float64 {
	size, found := min(r.seen, recentPrompts), 0
	for _, key := range r.keys[:size] {
		if key == prefix {
			found++
		}
	}
	if found < minOccurrencesAtFirst || found < minOccurrences && size > smallSample {
		return 0
	}
	// The first occurrence is why the prefix was looked up.
	return float64(found-1) / float64(max(size, minSample))
}

// recordPrefix adds a prompt to the sample of its pool and to the next report.
func (t *transition) recordPrefix(c call) {
	if !c.pool.Engine || len(c.req.Prompt.Parts) < 2 {
		return
	}
	recent, _ := t.recentPrefixes.Get(c.pool.ID)
	t.recentPrefixes = t.recentPrefixes.With(c.pool.ID, recent.with(prefixKey(c)))
	if len(t.unreportedPrompts.Prefixes) < maxUnreported {
		t.unreportedPrompts = Prompts{
			Prefixes: t.unreportedPrompts.Prefixes.With(prefixTag(c), 1),
			Pools:    t.unreportedPrompts.Pools.With(popularity.PoolTag(c.pool.ID), 1),
		}
	}
}

func prefixTag(c call) popularity.Tag { return popularity.TagOf(c.pool.ID, prefixKey(c)) }

// enginesForPrefix returns over how many of a number of engines the call's prefix must be spread, by how popular it is.
func (t *transition) enginesForPrefix(c call, engines int, mean, bound float64) int {
	if len(c.req.Prompt.Parts) < 2 {
		return 1
	}
	forDelay := t.enginesForDelay(c, mean, bound)
	mean, bound = t.withUnreported(c, engines, mean, bound)
	total, limit := mean*float64(engines), popularFraction*bound
	if total <= limit {
		return 1
	}
	load := t.prefixShare(c, limit/total) * total
	return min(engines, max(1, int(math.Ceil(load/limit)), forDelay))
}

// enginesForDelay returns how many engines have room for the prompts that may begin with one prefix before this host knows of them.
func (t *transition) enginesForDelay(c call, mean, bound float64) int {
	if t.hostCount <= 1 {
		return 1
	}
	unknown := surgeShare * t.promptRate(c.pool.ID) * t.delayOf(prefixTag(c)).Seconds()
	return int(unknown / max(1, bound-mean))
}
