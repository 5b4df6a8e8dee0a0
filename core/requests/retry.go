// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"github.com/yardhall/yardhall/core/ident"
)

// A request may be sent to one more worker while three limits allow it: the route's
// MaxAttempts counts the workers that it may have reached; maxConnects counts those beyond
// that could not be connected to; and the retry budget of its pool holds a token.
//
// The budget is a token bucket for each pool and host. Each first attempt adds its part of
// the allowance, RetryShare; the bucket holds this host's part of RetryExtra, one token at
// least, and starts full. The entry hosts of a fleet so keep the fleet's allowance without
// speaking to each other.
//
// Inputs: the route's MaxAttempts, the call's attempts, RetryShare (a part of requests),
// RetryExtra (requests), the number of entry hosts.
const (
	// BudgetUsed is the part of the fleet's allowance that hosts use. The rest covers
	// hosts that count fewer entry hosts than there are, as after a start. Chosen, not
	// measured.
	BudgetUsed = 0.6
	// maxConnects bounds the workers that a request finds out of reach: each costs it up
	// to the time of a connection attempt. Chosen, not measured.
	maxConnects = 4
)

// budget is what may still be sent once more to a pool, in requests. The zero value has
// not begun.
type budget struct {
	tokens float64
	begun  bool
}

// earnRetries adds a first attempt's part to the budget of its pool.
func (t *transition) earnRetries(pool ident.Service) {
	b, _ := t.budgets.Get(pool)
	most := BudgetUsed * t.settings.RetryExtra / float64(t.hosts)
	if !b.begun {
		b = budget{tokens: most, begun: true}
	}
	b.tokens = min(max(most, 1), b.tokens+BudgetUsed*t.settings.RetryShare)
	t.budgets = t.budgets.With(pool, b)
}

// spendRetry charges the budget of a pool for one retry.
func (t *transition) spendRetry(pool ident.Service) {
	b, _ := t.budgets.Get(pool)
	b.tokens--
	t.budgets = t.budgets.With(pool, b)
}

// budgetAllows tells whether the budget of the call's pool holds a retry, and counts
// where it does not.
func (t *transition) budgetAllows(c call) bool {
	b, _ := t.budgets.Get(c.pool.ID)
	if b.tokens < 1 {
		t.counters.NoBudget++
		return false
	}
	return true
}

// connectsUsedUp tells whether the call has found too many workers out of reach.
func (c call) connectsUsedUp() bool { return c.attempt >= maxConnects+c.sent }

// mayRetry tells whether all limits allow one more worker.
func (t *transition) mayRetry(c call) bool {
	if c.sent >= max(1, c.route.MaxAttempts) || c.connectsUsedUp() {
		return false
	}
	return t.budgetAllows(c)
}

// retry sends the call to another worker, or ends it with v where there is none.
func (t *transition) retry(c call, v Verdict) {
	t.counters.Retried++
	if !c.paid {
		t.spendRetry(c.pool.ID)
	}
	c.paid = false
	t.dispatch(c, v)
}
