// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"math"
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/popularity"
	"github.com/yardhall/yardhall/core/table"
)

// The prompts of all hosts are counted by collectors (package popularity), each of which counts some of the prefixes. This file keeps what they return,
// for the rule of popular.go.
const (
	// prefixCountLifetime is how long the count of a prefix is used, several times that between two messages about it; poolCountLifetime is that of the
	// prompts to a pool, which change slowly.
	prefixCountLifetime = 1500 * time.Millisecond
	poolCountLifetime   = 4 * time.Second
	// maxCountsDelay bounds the delay of counts that the spread of prefixes allows for.
	maxCountsDelay = 1500 * time.Millisecond
)

// Prompts are numbers of prompts by prefix and by pool.
type Prompts struct{ Prefixes, Pools popularity.Counts }

// promptCounts are what a host knows of the prefixes of prompts.
type promptCounts struct {
	// recentPrefixes are the prefixes of this host's latest prompts to pools of engines.
	recentPrefixes table.Table[ident.Service, recentPrefixes]
	// unreportedPrompts are this host's prompts that TakePrompts has not returned. They are not modified in place.
	unreportedPrompts Prompts
	// prefixCounts and poolCounts are those of all hosts' prompts.
	prefixCounts table.Table[popularity.Tag, promptCount]
	poolCounts   table.Table[popularity.Tag, promptCount]
	// coverage tells which prefixes are counted, countsDelay is how long the counts may lack what hosts reported.
	coverage    popularity.Coverage
	countsDelay time.Duration
}

// promptCount is a number of prompts of all hosts, as received at a time.
type promptCount struct {
	count      float64
	receivedAt time.Time
	// since is since when counts have been received without a gap; by is the collector.
	since time.Time
	by    ident.Host
}

// TakePrompts returns the state without its unreported prompts, and these.
func (s State) TakePrompts() (State, Prompts) {
	taken := s.unreportedPrompts
	s.unreportedPrompts = Prompts{}
	return s, taken
}

// WithPromptCounts returns the state with a collector's counts of all hosts' prompts, received now.
func (s State) WithPromptCounts(p Prompts, by ident.Host, now time.Time) State {
	for tag, c := range s.prefixCounts.All() {
		if now.Sub(c.receivedAt) > prefixCountLifetime {
			s.prefixCounts = s.prefixCounts.Without(tag)
		}
	}
	for tag, n := range p.Prefixes {
		previous, known := s.prefixCounts.Get(tag)
		// A collector that has just started counts from 0 on.
		n = max(n, popularity.Decayed(previous.count, now.Sub(previous.receivedAt)))
		if known || popularity.IsFrequent(n) {
			s.prefixCounts = s.prefixCounts.With(tag, previous.next(n, by, now, prefixCountLifetime))
		}
	}
	for tag, n := range p.Pools {
		previous, _ := s.poolCounts.Get(tag)
		// A collector that has just started lacks hosts.
		n = max(n, previous.count*math.Exp(-now.Sub(previous.receivedAt).Seconds()/poolCountLifetime.Seconds()))
		s.poolCounts = s.poolCounts.With(tag, previous.next(n, by, now, poolCountLifetime))
	}
	return s
}

// next returns the count that follows this one.
func (c promptCount) next(n float64, by ident.Host, now time.Time, lifetime time.Duration) promptCount {
	since := c.since
	if now.Sub(c.receivedAt) > lifetime {
		since = now
	}
	return promptCount{n, now, since, by}
}

// WithCoverage returns the state with the prefixes that are counted, and the time for which the counts may lack what hosts reported.
func (s State) WithCoverage(v popularity.Coverage, delay time.Duration) State {
	s.coverage, s.countsDelay = v, delay
	return s
}

// delayOf returns how long the counts of a prefix may lack what hosts reported.
func (t *transition) delayOf(prefix popularity.Tag) time.Duration {
	if !t.coverage.Has(prefix) {
		return maxCountsDelay
	}
	return min(t.countsDelay, maxCountsDelay)
}

// CountsPromptsOfAll reports whether the prompts of all hosts to a pool are counted, so that these counts decide which prefixes are popular.
func (s State) CountsPromptsOfAll(pool ident.Service, now time.Time) bool {
	c, ok := s.poolCounts.Get(popularity.PoolTag(pool))
	return ok && now.Sub(c.receivedAt) <= poolCountLifetime && c.count > 0
}

// promptRate returns the prompts a second of all hosts to a pool; 0 if it is not known.
func (t *transition) promptRate(pool ident.Service) float64 {
	c, ok := t.poolCounts.Get(popularity.PoolTag(pool))
	if !ok || t.now.Sub(c.receivedAt) > reportLifetime {
		return 0
	}
	return popularity.Rate(c.count)
}

// withUnreported returns the mean load and the bound of a pool whose traffic has just begun: all prompts that were sent since the loads were
// reported may still be in progress.
func (t *transition) withUnreported(c call, engines int, mean, bound float64) (atLeast, boundThen float64) {
	if !t.CountsPromptsOfAll(c.pool.ID, t.now) {
		return mean, bound
	}
	sent := t.promptRate(c.pool.ID) * min(t.now.Sub(t.reportedAsOf), reportTTL).Seconds()
	if unreported := sent / float64(max(1, engines)); unreported > mean {
		return unreported, t.loadBound(unreported)
	}
	return mean, bound
}

// prefixShare returns the estimated share of the prompts to the call's pool that have its prefix; 0 if the prefix is not popular. Where the prompts
// of all hosts are counted, it is popular if significantly more than a given share have it, otherwise if it is frequent
// among this host's own ones.
func (t *transition) prefixShare(c call, share float64) float64 {
	isCounted := t.CountsPromptsOfAll(c.pool.ID, t.now)
	counted := 0.0
	if isCounted {
		counted = t.countedShare(c, share)
	}
	if isCounted && t.coverage.Has(prefixTag(c)) {
		return counted
	}
	recent, _ := t.recentPrefixes.Get(c.pool.ID)
	return max(counted, recent.share(prefixKey(c)))
}

// countedShare returns the share of a prefix by the counts of all hosts' prompts; 0 if it does not exceed a given share.
func (t *transition) countedShare(c call, share float64) float64 {
	prefix, ok := t.prefixCounts.Get(prefixTag(c))
	if !ok || t.now.Sub(prefix.receivedAt) > prefixCountLifetime {
		return 0
	}
	pool, _ := t.poolCounts.Get(popularity.PoolTag(c.pool.ID))
	if !popularity.Exceeds(prefix.count, pool.count, share) {
		return 0
	}
	count := prefix.count * popularity.RampFactor(t.now.Sub(prefix.since))
	return min(1, count/max(1, pool.count))
}

// addPrefixCounts adds to the inputs of a decision whose counts of prompts it was made from.
func (t *transition) addPrefixCounts(in *Inputs, c call) {
	in.PrefixCountsAge = neverKnown
	if !t.CountsPromptsOfAll(c.pool.ID, t.now) {
		return
	}
	in.PrefixCountsDelay = t.delayOf(prefixTag(c))
	used, _ := t.poolCounts.Get(popularity.PoolTag(c.pool.ID))
	if prefix, ok := t.prefixCounts.Get(prefixTag(c)); ok && t.now.Sub(prefix.receivedAt) <= prefixCountLifetime {
		used = prefix
		in.PrefixFrequentFor = t.now.Sub(prefix.since)
	}
	in.PrefixCountsAge, in.PrefixCountedBy = t.now.Sub(used.receivedAt), used.by
}

// withoutUncounted returns the engines over which a prefix is spread, without the first ones while loads are older than the knowledge that the prefix is
// popular: until then all hosts sent it to these, and their loads do not show that.
func (t *transition) withoutUncounted(c call, candidates []candidate, spread []int, mean, bound float64) []int {
	prefix, ok := t.prefixCounts.Get(prefixTag(c))
	if !ok || t.now.Sub(prefix.receivedAt) > prefixCountLifetime {
		return spread
	}
	uncounted := max(1, t.enginesForDelay(c, mean, bound))
	if len(spread) < 2*uncounted {
		return spread
	}
	knownAt := prefix.since.Add(t.delayOf(prefixTag(c)))
	out := make([]int, 0, len(spread))
	for place, i := range spread {
		if place >= uncounted || !t.loadKnownAt(candidates[i].member).Before(knownAt) {
			out = append(out, i)
		}
	}
	return out
}

// loadKnownAt returns the time of the estimate of other hosts' requests at a member.
func (t *transition) loadKnownAt(m *member) time.Time {
	if m.full != nil && m.full.selfReportedAt.After(t.reportedAsOf) {
		return m.full.selfReportedAt
	}
	return t.reportedAsOf
}
