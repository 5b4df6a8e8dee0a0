// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/loads"
)

// The retry budget of a pool is a token bucket at each host. Each first attempt adds RetryShare
// of a token; the bucket holds this host's part of RetryExtra, at least one token, and starts
// full. The sum over all hosts stays within the fleet's allowance without coordination.
//
// With hundreds of hosts, a host's part is hardly more than one retry. If a partition hides a few
// engines, some hosts use up their part while the fleet has spent little. Hosts therefore report
// their retries within spendingWindow along with their loads, and with each report a host may
// borrow borrowFraction of the unspent part of RetryExtra, divided by the number of hosts.
// Reports are late: the sum stays within the allowance as long as borrowFraction times the number
// of reports within the age of one report is below 1.
//
// Inputs: RetryShare (a fraction of requests), RetryExtra (requests), the number of entry hosts,
// and the fleet's retries as of the last report.
const (
	// RetryBudgetFraction is the fraction of the fleet's allowance that hosts use. The rest
	// covers hosts that assume too few entry hosts, as after a start.
	RetryBudgetFraction = 0.6
	// borrowFraction allows for reports that are up to ten report intervals old.
	borrowFraction = 0.1
	// spendingWindow is the number of seconds over which retries are counted, the window over
	// which operators observe retry limits.
	spendingWindow = 10
)

// budget holds the retries still allowed in a pool. The zero value has not been filled yet.
type budget struct {
	tokens  float64
	started bool
	// borrowed is unspent budget of other hosts that this one may use; spent counts this host's
	// retries.
	borrowed float64
	spent    windowCounter
}

// windowCounter counts retries per second over spendingWindow. The zero value is empty.
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

// incremented returns the counter with one more retry.
func (s windowCounter) incremented(now time.Time) windowCounter {
	s = s.advancedTo(now)
	s.counts[s.second%spendingWindow]++
	return s
}

// total returns the number of retries within the window.
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
	share := t.hostRetryExtra()
	if !b.started {
		b = budget{tokens: share, started: true}
	}
	b.tokens = min(max(share, 1), b.tokens+RetryBudgetFraction*t.settings.RetryShare)
	t.retryBudgets = t.retryBudgets.With(pool, b)
}

// hostRetryExtra returns this host's part of RetryExtra.
func (t *transition) hostRetryExtra() float64 {
	return RetryBudgetFraction * t.settings.RetryExtra / float64(t.hostCount)
}

// chargeRetry charges the budget of a pool for one retry.
func (t *transition) chargeRetry(pool ident.Service) {
	b, _ := t.retryBudgets.Get(pool)
	if b.tokens >= 1 {
		b.tokens--
	} else {
		b.borrowed--
		t.counters.RetriesLent++
	}
	b.spent = b.spent.incremented(t.now)
	t.retryBudgets = t.retryBudgets.With(pool, b)
}

// budgetAllows reports whether the budget of the call's pool allows a retry, and counts refusals.
func (t *transition) budgetAllows(c call) bool {
	b, _ := t.retryBudgets.Get(c.pool.ID)
	if b.tokens < 1 && b.borrowed < 1 {
		t.counters.NoBudget++
		return false
	}
	return true
}

// borrowRetries updates the borrowed budget of each pool after a report of the fleet's retries.
// Unused borrowings lapse, except for one retry.
func (t *transition) borrowRetries() {
	for pool, b := range t.retryBudgets.All() {
		fleet := t.reportedLoads[retryTag(pool)] + b.spent.total(t.now)
		unspent := max(0, RetryBudgetFraction*t.settings.RetryExtra-float64(fleet))
		share := borrowFraction * unspent / float64(t.hostCount)
		b.borrowed = min(max(0, b.borrowed)+share, 1+share)
		t.retryBudgets = t.retryBudgets.With(pool, b)
	}
}

// addRetrySpending adds this host's recent retries to its reported loads.
func (s State) addRetrySpending(own loads.Counts, now time.Time) {
	for pool, b := range s.retryBudgets.All() {
		if n := b.spent.total(now); n > 0 {
			own[retryTag(pool)] += n
		}
	}
}

// retryTag is the tag of a pool's retries among reported loads.
func retryTag(pool ident.Service) loads.Tag { return loads.TagOf(ident.Target("retries of " + pool)) }
