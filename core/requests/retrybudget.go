// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/loads"
)

// The retry budget of a pool is a token bucket at each host. Each first attempt adds its
// part of the allowance, RetryShare; the bucket holds this host's part of RetryExtra, one
// token at least, and starts full. So hosts keep the fleet's allowance without speaking to
// each other.
//
// At hundreds of hosts a part is hardly more than one request, and a few engines that are
// lost behind a cut use it up at some hosts while the fleet as a whole has hardly begun. So
// hosts report with their loads what they have sent once more within spendingWindow, and
// each host is lent a part of what RetryExtra leaves: with each report lentPart of it,
// divided among all hosts. As reports are late, what hosts may have used meanwhile is
// charged: lentPart times the reports that fall into the age of one stays below 1.
//
// Inputs: RetryShare (a part of requests), RetryExtra (requests), the number of entry hosts,
// and the fleet's spending as of the last report.
const (
	// RetryBudgetFraction is the part of the fleet's allowance that hosts use. The rest covers
	// hosts that count fewer entry hosts than there are, as after a start. Chosen, not
	// measured.
	RetryBudgetFraction = 0.6
	// lentPart allows for reports that are up to ten report intervals old.
	lentPart = 0.1
	// spendingWindow is the time over which spending is added up, in seconds: as long as
	// operators look at when they bound retries.
	spendingWindow = 10
)

// budget is what may still be sent once more to a pool, in requests. The zero value has
// not begun.
type budget struct {
	tokens float64
	begun  bool
	// lent is what other hosts leave to this one; spent is what this host has sent once
	// more.
	lent  float64
	spent spending
}

// spending counts requests by the second, for as long as the window. The zero value has
// none.
type spending struct {
	second int64
	counts [spendingWindow]int
}

// at returns the spending with the seconds before the window forgotten.
func (s spending) at(now time.Time) spending {
	second := now.Unix()
	for s.second < second && second-s.second < spendingWindow {
		s.second++
		s.counts[s.second%spendingWindow] = 0
	}
	if s.second < second {
		s = spending{second: second}
	}
	return s
}

// withOne counts one request.
func (s spending) withOne(now time.Time) spending {
	s = s.at(now)
	s.counts[s.second%spendingWindow]++
	return s
}

// sum is how many requests were counted within the window.
func (s spending) sum(now time.Time) int {
	total := 0
	for _, n := range s.at(now).counts {
		total += n
	}
	return total
}

// earnRetries adds a first attempt's part to the budget of its pool.
func (t *transition) earnRetries(pool ident.Service) {
	b, _ := t.budgets.Get(pool)
	most := t.retryPart()
	if !b.begun {
		b = budget{tokens: most, begun: true}
	}
	b.tokens = min(max(most, 1), b.tokens+RetryBudgetFraction*t.settings.RetryShare)
	t.budgets = t.budgets.With(pool, b)
}

// retryPart is this host's part of RetryExtra.
func (t *transition) retryPart() float64 {
	return RetryBudgetFraction * t.settings.RetryExtra / float64(t.hosts)
}

// spendRetry charges the budget of a pool for one retry.
func (t *transition) spendRetry(pool ident.Service) {
	b, _ := t.budgets.Get(pool)
	if b.tokens >= 1 {
		b.tokens--
	} else {
		b.lent--
		t.counters.RetriesLent++
	}
	b.spent = b.spent.withOne(t.now)
	t.budgets = t.budgets.With(pool, b)
}

// budgetAllows tells whether the budget of the call's pool holds a retry, and counts
// where it does not.
func (t *transition) budgetAllows(c call) bool {
	b, _ := t.budgets.Get(c.pool.ID)
	if b.tokens < 1 && b.lent < 1 {
		t.counters.NoBudget++
		return false
	}
	return true
}

// lendRetries takes what hosts report of their spending. What was lent before and is not
// used lapses beyond what a single report may bring and one request.
func (t *transition) lendRetries() {
	for pool, b := range t.budgets.All() {
		fleet := t.reported[retriesTag(pool)] + b.spent.sum(t.now)
		left := max(0, RetryBudgetFraction*t.settings.RetryExtra-float64(fleet))
		part := lentPart * left / float64(t.hosts)
		b.lent = min(max(0, b.lent)+part, 1+part)
		t.budgets = t.budgets.With(pool, b)
	}
}

// addRetries adds what this host has sent once more to its loads.
func (s State) addRetries(own loads.Counts, now time.Time) {
	for pool, b := range s.budgets.All() {
		if n := b.spent.sum(now); n > 0 {
			own[retriesTag(pool)] += n
		}
	}
}

// retriesTag names the spending of a pool among loads.
func retriesTag(pool ident.Service) loads.Tag { return loads.TagOf(ident.Target("retries of " + pool)) }
