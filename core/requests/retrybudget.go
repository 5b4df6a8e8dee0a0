// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/loads"
)

// The retry budget of a pool has two parts. Each host has a token bucket: a first attempt adds
// RetryShare of a token, and the bucket starts with this host's part of ownFraction of RetryExtra
// and holds that and the credit of its recent requests. The sum over all hosts stays within the
// fleet's allowance without coordination. With hundreds of hosts, such a part is hardly one retry,
// or less.
//
// The rest of RetryExtra belongs to the fleet. Hosts report their first attempts and retries within
// spendingWindow along with their loads, and a request that finds no whole token is retried with a
// probability: the unspent part of RetryExtra, divided by the retries that all hosts could send,
// if every request failed, until a report shows them. The retries of the fleet are then as many as
// its allowance permits, whatever the number of hosts.
//
// Probabilities and fractions of tokens are added up in the host's carry, which allows a retry when
// it reaches 1. It starts with a fraction drawn from the host's name, so the deviation over all
// hosts is below half the square root of their number.
//
// Inputs: RetryShare (a fraction of requests), RetryExtra (requests), the number of entry hosts,
// the fleet's first attempts and retries as of the last report, and the report's age.
const (
	// RetryBudgetFraction is the fraction of the fleet's allowance that hosts use, and of RetryShare
	// that a first attempt adds. The rest covers late reports, hosts that restart, and hosts that
	// assume too few entry hosts, as after a start.
	RetryBudgetFraction = 0.6
	// ownFraction is the fraction of RetryExtra that many hosts use without reports. fleetFraction is
	// the one up to which they retry by reports; it includes what they have spent of their own.
	ownFraction   = 0.3
	fleetFraction = 0.4
	// heldFraction is the fraction of RetryShare of recent requests that a host may keep for
	// later.
	heldFraction = 1 - RetryBudgetFraction
	// trafficGrowth is the factor by which traffic may have grown since the last report.
	trafficGrowth = 4
	// spendingWindow is the number of seconds over which retries are counted, the window over
	// which operators observe retry limits.
	spendingWindow = 10
)

// budget holds the retries still allowed in a pool. The zero value has not been filled yet.
type budget struct {
	tokens  float64
	started bool
	// carry holds the fractions and probabilities that requests have found since the last retry.
	carry float64
	// spent counts this host's retries, arrived its first attempts.
	spent   windowCounter
	arrived windowCounter
}

// offered returns the budget after a request asked for a retry that the fleet allows with a
// probability, and whether there is one for it.
func (b budget) offered(probability float64) (next budget, allows bool) {
	if b.tokens >= 1 || b.carry >= 1 {
		return b, true
	}
	b.carry += min(1, b.tokens+probability)
	b.tokens = 0
	return b, b.carry >= 1
}

// charged returns the budget after one retry; usesCarry reports whether the carry allowed it.
func (b budget) charged() (next budget, usesCarry bool) {
	if b.tokens >= 1 {
		b.tokens--
		return b, false
	}
	b.carry--
	return b, true
}

// windowCounter counts events per second over spendingWindow. The zero value is empty.
type windowCounter struct {
	second int64
	counts [spendingWindow]int
}

// advancedTo returns the counter with the seconds before the window dropped.
func (s windowCounter) advancedTo(now time.Time) windowCounter {
	second := now.Unix()
	for s.second < second && second-s.second < spendingWindow {
		s.second++
		s.counts[s.second%spendingWindow] = 0
	}
	if s.second < second {
		s = windowCounter{second: second}
	}
	return s
}

// incremented returns the counter with one more event.
func (s windowCounter) incremented(now time.Time) windowCounter {
	s = s.advancedTo(now)
	s.counts[s.second%spendingWindow]++
	return s
}

// total returns the number of events within the window.
func (s windowCounter) total(now time.Time) int {
	total := 0
	for _, n := range s.advancedTo(now).counts {
		total += n
	}
	return total
}

// creditRetries adds the allowance for a first attempt to the budget of its pool.
func (t *transition) creditRetries(pool ident.Service) {
	b, _ := t.retryBudgets.Get(pool)
	b.arrived = b.arrived.incremented(t.now)
	share := t.hostRetryExtra()
	if !b.started {
		b.tokens, b.started = share, true
		b.carry = unit(hash.Mix(hash.Of("retries", string(pool)), hash.Of(string(t.settings.Host))))
	}
	capacity := share + heldFraction*t.settings.RetryShare*float64(b.arrived.total(t.now))
	b.tokens = min(capacity, b.tokens+RetryBudgetFraction*t.settings.RetryShare)
	t.retryBudgets = t.retryBudgets.With(pool, b)
}

// hostRetryExtra returns this host's own part of RetryExtra. What is left to reports shrinks with
// the number of other hosts; a single host needs none.
func (t *transition) hostRetryExtra() float64 {
	hosts := float64(t.hostCount)
	fraction := ownFraction + (RetryBudgetFraction-ownFraction)/hosts
	return fraction * t.settings.RetryExtra / hosts
}

// chargeRetry charges the budget of a pool for one retry.
func (t *transition) chargeRetry(pool ident.Service) {
	b, _ := t.retryBudgets.Get(pool)
	b, usesCarry := b.charged()
	if usesCarry {
		t.counters.RetriesLent++
	}
	b.spent = b.spent.incremented(t.now)
	t.retryBudgets = t.retryBudgets.With(pool, b)
}

// budgetAllows reports whether the budget of the call's pool allows a retry, and counts refusals.
func (t *transition) budgetAllows(c call) bool {
	b, _ := t.retryBudgets.Get(c.pool.ID)
	b, allows := b.offered(t.fleetRetryProbability(c.pool.ID, b))
	t.retryBudgets = t.retryBudgets.With(c.pool.ID, b)
	if !allows {
		t.counters.NoBudget++
	}
	return allows
}

// fleetRetryProbability returns the probability with which a request may be retried out of the
// fleet's part of RetryExtra; 0 without a recent report.
func (t *transition) fleetRetryProbability(pool ident.Service, b budget) float64 {
	age := t.now.Sub(t.reportedAsOf)
	if age > reportTTL {
		return 0
	}
	spent := t.reportedLoads[retryTag(pool)] + b.spent.total(t.now)
	unspent := max(0, fleetFraction*t.settings.RetryExtra-float64(spent))
	perSecond := float64(t.reportedLoads[requestTag(pool)]+b.arrived.total(t.now)) / spendingWindow
	possible := trafficGrowth * perSecond * age.Seconds()
	if possible <= unspent {
		return 1
	}
	return unspent / possible
}

// addRetrySpending adds this host's recent first attempts and retries to its reported loads.
func (s State) addRetrySpending(own loads.Counts, now time.Time) {
	for pool, b := range s.retryBudgets.All() {
		if n := b.spent.total(now); n > 0 {
			own[retryTag(pool)] += n
		}
		if n := b.arrived.total(now); n > 0 {
			own[requestTag(pool)] += n
		}
	}
}

// retryTag is the tag of a pool's retries among reported loads, requestTag that of its first
// attempts.
func retryTag(pool ident.Service) loads.Tag { return loads.TagOf(ident.Target("retries of " + pool)) }

func requestTag(pool ident.Service) loads.Tag {
	return loads.TagOf(ident.Target("requests of " + pool))
}
