// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
)

// serverError is the lowest status by which a worker says that it failed.
const serverError = 500

// attemptEnded decides what follows a try.
func (t *turn) attemptEnded(ev AttemptEnded) {
	c, ok := t.calls.Get(ev.Request)
	if !ok || c.attempt != ev.Attempt {
		return
	}
	t.use(c.target, -1)
	t.learn(c, ev.Result)
	c.worst = outcome.Worst(c.worst, outcome.Of(ev.Result))
	if !ev.Wanted {
		t.finish(c.req.ID, Verdict{Outcome: c.worst, Code: CodeCallerGone, Reason: "the caller left"})
		return
	}
	switch r := ev.Result.(type) {
	case outcome.Answered:
		t.answered(c, r)
	case outcome.NeverSent:
		t.neverSent(c, r)
	case outcome.Declined:
		t.declined(c, r)
	case outcome.Broken:
		t.broken(c, r)
	case outcome.Abandoned:
		t.finish(c.req.ID, Verdict{Outcome: c.worst, Code: CodeCallerGone, Reason: "the caller left"})
	}
}

// answered delivers the answer, or tries once more where the worker failed and
// the request may run again.
func (t *turn) answered(c call, r outcome.Answered) {
	c.sent++
	v := Verdict{Outcome: outcome.Ran, Code: CodeOK}
	if r.Status >= serverError && c.route.Repeatable() && t.mayRetry(c) {
		t.again(c.withHolder(), v)
		return
	}
	t.finish(c.req.ID, v)
}

func (t *turn) neverSent(c call, r outcome.NeverSent) {
	v := Verdict{Outcome: c.worst, Code: CodeNoWorker, Reason: "the worker could not be reached: " + r.Reason}
	if c.attempt >= maxConnects+c.sent {
		v.RetryAfter = comeBack
		t.finish(c.req.ID, v)
		return
	}
	t.dispatch(c, v)
}

func (t *turn) declined(c call, r outcome.Declined) {
	if !r.Leaving {
		c.sent++
	}
	v := Verdict{Outcome: c.worst, Code: CodeOverloaded, Reason: "the worker declined: " + r.Reason}
	if !t.mayRetry(c) {
		if !r.Leaving && t.resend(c) {
			return
		}
		if v.Outcome == outcome.NotRun {
			v.RetryAfter = comeBack
		}
		t.finish(c.req.ID, v)
		return
	}
	t.again(c.withHolder(), v)
}

// withHolder remembers the engine tried first, which has answered.
func (c call) withHolder() call {
	if c.holder == "" && len(c.tried) == 1 {
		c.holder = c.target
	}
	return c
}

func (t *turn) broken(c call, r outcome.Broken) {
	c.sent++
	v := Verdict{Outcome: c.worst, Code: CodeBroken, Reason: "the worker's answer broke off: " + r.Reason}
	if !c.route.Repeatable() || !c.paid && !t.mayRetry(c) {
		t.finish(c.req.ID, v)
		return
	}
	t.again(c, v)
}

// mayRetry tells whether attempts and budget allow one more worker.
func (t *turn) mayRetry(c call) bool {
	if c.sent >= max(1, c.route.MaxAttempts) || c.attempt >= maxConnects+c.sent {
		return false
	}
	return t.funded(c)
}

// funded tells whether the budget of the call's pool allows one more try.
func (t *turn) funded(c call) bool {
	b, _ := t.budgets.Get(c.pool.ID)
	if b.tokens < 1 {
		t.counters.NoBudget++
		return false
	}
	return true
}

func (t *turn) again(c call, v Verdict) {
	t.counters.Retried++
	if !c.paid {
		t.spend(c.pool.ID)
	}
	c.paid = false
	t.dispatch(c, v)
}

// budget bounds what may be sent more than once to a pool.
type budget struct {
	tokens float64
	begun  bool
}

// addRequest adds a first try's part to the budget of its pool.
func (t *turn) addRequest(pool ident.Service) {
	b, _ := t.budgets.Get(pool)
	most := t.settings.RetryExtra / float64(t.hosts)
	if !b.begun {
		b = budget{tokens: most, begun: true}
	}
	b.tokens = min(max(most, 1), b.tokens+t.settings.RetryShare)
	t.budgets = t.budgets.With(pool, b)
}

func (t *turn) spend(pool ident.Service) {
	b, _ := t.budgets.Get(pool)
	b.tokens--
	t.budgets = t.budgets.With(pool, b)
}

// learn takes the result of a try as a sign of the worker's health.
func (t *turn) learn(c call, a outcome.Attempt) {
	w, ok := t.workers.Get(c.target)
	if !ok {
		return
	}
	if silent(a) {
		t.missed(w)
	} else if answers(a) {
		t.heardFrom(w.Zone)
		w, _ = t.workers.Get(c.target)
	}
	before := w.sound(t.now)
	switch a := a.(type) {
	case outcome.Answered:
		w.health = w.health.WithResult(a.Status < serverError, t.now)
	case outcome.Declined:
		w.replaced = w.replaced || a.Leaving
		w.fullUntil = t.now.Add(fullPause)
	case outcome.NeverSent:
		w.health = w.health.WithUnreachable(t.now)
	case outcome.Broken:
		w.health = w.health.WithResult(false, t.now)
	case outcome.Abandoned:
	}
	t.workers = t.workers.With(c.target, w)
	if after := w.sound(t.now); after != before {
		t.out = append(t.out, Believed{Worker: w.Worker, Usable: after, Failures: w.health.Failures, Why: why(a)})
	}
}

// silent tells whether nothing came from the worker, not even a refusal.
func silent(a outcome.Attempt) bool {
	switch a := a.(type) {
	case outcome.NeverSent:
		return a.Silent
	case outcome.Broken:
		return a.Silent
	}
	return false
}

// answers tells whether the worker said something.
func answers(a outcome.Attempt) bool {
	switch a.(type) {
	case outcome.Answered, outcome.Declined:
		return true
	}
	return false
}

// why names what was seen of a worker.
func why(a outcome.Attempt) string {
	switch a := a.(type) {
	case outcome.NeverSent:
		return a.Reason
	case outcome.Declined:
		return a.Reason
	case outcome.Broken:
		return a.Reason
	}
	return "an answer"
}

// fullPause is how long a worker that declined is passed over.
const fullPause = 200 * time.Millisecond
