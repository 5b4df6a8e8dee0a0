// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"math/rand/v2"
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/routing"
)

const (
	// askTimeout is how long an owner may take to answer before the router
	// picks by its own view.
	askTimeout = 250 * time.Millisecond
	// queuedPoll is the pause between two looks at a place in a queue.
	queuedPoll = 2 * time.Second
	// claimTimeout bounds the wait for the right to run.
	claimTimeout = 3 * time.Second
	// maxTries bounds the attempts of one request.
	maxTries = 3
	// maxHops bounds how often an ask is sent to another group.
	maxHops = 2
	// budgetPerRequest is what each request adds to the retry budget; a retry
	// takes 1, so retries stay under this share of requests.
	budgetPerRequest = 0.1
	maxBudget        = 10
	// retryJitter bounds the random pause before a retry after a failure.
	retryJitter = 100 * time.Millisecond
	retryLater  = time.Second
	// defaultTimeout is a request's time where neither caller nor service say.
	defaultTimeout = 2 * time.Minute
	percent        = 100
)

// phase is where a call stands.
type phase uint8

const (
	phaseClaiming phase = iota
	phaseAsking
	phaseQueued
	phaseWaiting
	phaseRunning
	phaseFetching
)

// call is one caller's request in progress.
type call struct {
	req     Request
	account config.Account
	class   config.Class
	service config.Service
	phase   phase
	// wake is when the phase has lasted too long.
	wake  time.Time
	group routing.GroupID
	// owner holds the place; "" after a pick by own view.
	owner   ident.Host
	target  ident.Target
	attempt int
	hops    int
	// asks counts the asks for a place; place names the newest.
	asks  int
	place ident.Place
	// final is set where the ask must not be sent to yet another group.
	final bool
	tried []ident.Target
	// avoid are groups in which a target could not be reached.
	avoid []routing.GroupID
	// worst joins the outcomes of the attempts so far.
	worst outcome.Kind
	// claimed is true while this call may hold the claim of its key; decided
	// once the claim's answer proves what earlier requests under it did.
	claimed, decided bool
	// denied is what the caller is told where the earlier request's answer
	// cannot be had.
	denied Verdict
}

func (t *transition) put(c call) { t.calls = t.calls.With(c.req.ID, c) }

// arrive checks a request and starts it on its way.
func (t *transition) arrive(r Request) {
	t.counters.Requests++
	t.budget = min(maxBudget, t.budget+budgetPerRequest)
	if r.Deadline.IsZero() {
		r.Deadline = t.now.Add(defaultTimeout)
	}
	c := call{req: r, worst: outcome.NotRun}
	if v, ok := t.admit(&c); !ok {
		t.refuse(c, v)
		return
	}
	t.useAccount(c.account.ID, 1)
	t.put(c)
	if c.req.Once && c.req.IdempotencyKey != "" {
		t.claim(c)
		return
	}
	t.ask(c)
}

// refuse tells the caller how the request ended. Only a decided claim proves
// that nothing ran under a key before.
func (t *transition) refuse(c call, v Verdict) {
	if c.req.IdempotencyKey != "" && !c.decided && v.Outcome == outcome.NotRun {
		// This attempt did not run, but an earlier one under its key may have.
		v.Outcome = outcome.Unknown
	}
	t.countOutcome(v.Outcome)
	t.emit(Finish{Request: c.req.ID, Verdict: v})
}

func (t *transition) countOutcome(k outcome.Kind) {
	switch k {
	case outcome.Ran:
		t.counters.Ran++
	case outcome.NotRun:
		t.counters.NotRun++
	case outcome.Unknown:
		t.counters.Unknown++
	}
}

// finish ends an admitted call: its place is freed, its claim settled.
func (t *transition) finish(c call, v Verdict) {
	t.calls = t.calls.Without(c.req.ID)
	t.useAccount(c.account.ID, -1)
	t.leave(c)
	if c.claimed {
		t.endClaim(c, c.worst)
	}
	t.refuse(c, v)
}

// leave gives back what the call holds on a target or in a queue.
func (t *transition) leave(c call) {
	if c.target != "" {
		t.useTarget(c.target, -1)
	}
	if c.owner != "" {
		t.send(c.owner, FreePlace{Place: c.place})
	}
}

func (t *transition) useTarget(id ident.Target, n int) {
	have, _ := t.inFlight.Get(id)
	if have+n <= 0 {
		t.inFlight = t.inFlight.Without(id)
		return
	}
	t.inFlight = t.inFlight.With(id, have+n)
}

func (t *transition) dispatch(c call, id ident.Target) {
	target, ok := t.config.Targets.Get(id)
	if !ok || !t.now.Before(c.req.Deadline) {
		t.finish(c, Verdict{Outcome: c.worst, Code: CodeDeadline, Reason: "the deadline passed before a target was found"})
		return
	}
	c.phase, c.target = phaseRunning, id
	c.attempt++
	c.wake = time.Time{}
	c.tried = append(c.tried[:len(c.tried):len(c.tried)], id)
	t.useTarget(id, 1)
	t.put(c)
	t.emit(Dispatch{
		Request: c.req.ID, Attempt: c.attempt, Target: target,
		Once: c.req.Once, Rank: c.class.Rank, Deadline: c.req.Deadline,
	})
}

// attemptEnded decides what follows a try.
func (t *transition) attemptEnded(ev AttemptEnded) {
	c, ok := t.calls.Get(ev.Request)
	if !ok {
		return
	}
	if _, gone := ev.Result.(outcome.Abandoned); !gone && (c.phase != phaseRunning || c.attempt != ev.Attempt) {
		return
	}
	if c.phase == phaseRunning {
		t.learn(c.target, ev.Result)
		c.worst = outcome.Combine(c.worst, outcome.Of(ev.Result))
	}
	switch r := ev.Result.(type) {
	case outcome.Answered:
		t.finish(c, Verdict{Outcome: outcome.Ran, Code: CodeOK})
	case outcome.NeverSent:
		c.avoid = append(c.avoid[:len(c.avoid):len(c.avoid)], c.group)
		t.retry(c, Verdict{Code: CodeNoTarget, Reason: "the target could not be reached: " + r.Reason}, 0)
	case outcome.Declined:
		t.retry(c, Verdict{Code: CodeOverloaded, Reason: "the target declined: " + r.Reason}, 0)
	case outcome.Broken:
		v := Verdict{Code: CodeBroken, Reason: "the target's answer broke off: " + r.Reason}
		if c.req.Once || r.Begun {
			v.Outcome = c.worst
			t.finish(c, v)
			return
		}
		t.retry(c, v, t.jitter())
	case outcome.Abandoned:
		t.finish(c, Verdict{Outcome: c.worst, Code: CodeCallerGone, Reason: "the caller left"})
	}
}

func (t *transition) jitter() time.Duration {
	t.draws++
	r := rand.New(rand.NewPCG(t.seed, t.draws)) //nolint:gosec // Jitter must be reproducible, not secret.
	return time.Duration(r.Int64N(int64(retryJitter)))
}

// retry tries another target if tries, budget and deadline allow.
func (t *transition) retry(c call, v Verdict, pause time.Duration) {
	v.Outcome = c.worst
	v.RetryAfter = retryLater
	if c.attempt >= maxTries || t.budget < 1 || !t.now.Add(pause).Before(c.req.Deadline) {
		t.finish(c, v)
		return
	}
	t.budget--
	t.counters.Retries++
	t.leave(c)
	c.owner, c.target, c.hops = "", "", 0
	if pause == 0 {
		t.ask(c)
		return
	}
	c.phase, c.wake = phaseWaiting, t.now.Add(pause)
	t.put(c)
}

// learn takes the result of a try as a sign of the target's health.
func (t *transition) learn(id ident.Target, a outcome.Attempt) {
	h, _ := t.health.Get(id)
	was := h.Usable(t.now)
	switch a := a.(type) {
	case outcome.Answered:
		t.setHealth(id, h.WithResult(true, t.now), was)
	case outcome.Declined:
		if a.Leaving {
			t.setHealth(id, h.WithLeaving(true, t.now), was)
		}
	case outcome.NeverSent, outcome.Broken:
		t.setHealth(id, h.WithResult(false, t.now), was)
	case outcome.Abandoned:
	}
}

// tickCalls moves on the calls whose phase has lasted too long.
func (t *transition) tickCalls() {
	var due []call
	for _, c := range t.calls.All() {
		if !c.wake.IsZero() && !t.now.Before(c.wake) {
			due = append(due, c)
		}
	}
	for _, c := range due {
		t.wake(c)
	}
}

func (t *transition) wake(c call) {
	expired := !t.now.Before(c.req.Deadline)
	switch {
	case c.phase == phaseClaiming:
		// The write's own deadline answers it.
	case c.phase == phaseFetching:
		t.finish(c, c.denied)
	case expired:
		t.finish(c, Verdict{
			Outcome: c.worst, Code: CodeDeadline, RetryAfter: retryLater, Reason: "no place was free before the deadline",
		})
	case c.phase == phaseAsking:
		// The owner is told in case the ask still arrives.
		t.note(NoteFallback, c.group.String(), string(c.owner))
		t.send(c.owner, FreePlace{Place: c.place})
		t.pickLocally(c)
		t.suspect(c.owner)
	case c.phase == phaseQueued:
		// The word that a place is free may have been lost.
		c.wake = earlier(c.req.Deadline, t.now.Add(queuedPoll))
		t.put(c)
		t.sendAsk(c)
	case c.phase == phaseWaiting:
		t.ask(c)
	}
}
