// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/crashes"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/routing"
)

// A request to a listed fleet's services goes: admitted (admit.go), claimed where it must not
// run twice (claim.go), given a place (place.go), run, and perhaps tried again (retry.go).
const (
	// permitTimeout is how long an owner may take to answer before the router picks by
	// its own view. Chosen, not measured.
	permitTimeout = 250 * time.Millisecond
	// queuedPoll is the time between two requests for a permit that waits in a queue, as
	// the reply may have been lost. Chosen, not measured.
	queuedPoll = 2 * time.Second
	// claimTimeout bounds the wait for the right to run: an election and a write.
	claimTimeout = 3 * time.Second
	// maxHops bounds how often a request is sent on to another group. Chosen, not
	// measured.
	maxHops = 2
	// defaultTimeout is a request's time where neither caller nor service say. Chosen,
	// not measured.
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
	// permitRequests counts the requests for a place; place names the newest.
	permitRequests int
	permit         ident.PermitID
	// final is set where the request must not be sent to yet another group.
	final bool
	tried []ident.Target
	// content identifies the call among those that are the same. boot is the start of its
	// target, as known when the attempt was sent at sentAt.
	content crashes.Content
	boot    uint64
	sentAt  time.Time
	// avoid are groups in which a target could not be reached.
	avoid []routing.GroupID
	// combined joins the outcomes of the attempts so far.
	combined outcome.Kind
	// claimed is true while this call may hold the claim of its key; decided
	// once the claim's answer proves what earlier requests under it did.
	claimed, decided bool
	// denied is the answer to the caller where the earlier request's answer
	// cannot be had.
	denied Verdict
}

func (t *transition) keepCall(c call) { t.calls = t.calls.With(c.req.ID, c) }

// arrive checks a request and starts it on its way.
func (t *transition) arrive(r Request) {
	t.counters.Requests++
	t.budget = min(maxBudget, t.budget+budgetPerRequest)
	if r.Deadline.IsZero() {
		r.Deadline = t.now.Add(defaultTimeout)
	}
	c := call{req: r, combined: outcome.NotRun}
	if v, ok := t.admit(&c); !ok {
		t.refuse(c, v)
		return
	}
	c.content = contentOf(c)
	if t.isRefused(c) {
		t.refuse(c, t.crashVerdict(c))
		return
	}
	t.addAccountInFlight(c.account.ID, 1)
	t.keepCall(c)
	if c.req.AtMostOnce && c.req.IdempotencyKey != "" {
		t.claim(c)
		return
	}
	t.requestPermit(c)
}

// refuse answers the caller of a request that got no place. Only a decided claim proves
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
	t.addAccountInFlight(c.account.ID, -1)
	t.release(c)
	if c.claimed {
		t.endClaim(c, c.combined)
	}
	t.refuse(c, v)
}

// release gives back what the call holds on a target or in a queue.
func (t *transition) release(c call) {
	if c.target != "" {
		t.addInFlight(c.target, -1)
	}
	if c.owner != "" {
		t.send(c.owner, ReleasePermit{Place: c.permit})
	}
}

func (t *transition) addInFlight(id ident.Target, n int) {
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
		t.finish(c, Verdict{Outcome: c.combined, Code: CodeDeadlineExceeded, Reason: "the deadline passed before a target was found"})
		return
	}
	if t.isRefused(c) {
		t.finish(c, t.crashVerdict(c))
		return
	}
	h, _ := t.health.Get(id)
	c.boot, c.sentAt = h.Boot, t.now
	c.phase, c.target = phaseRunning, id
	c.attempt++
	c.wake = time.Time{}
	c.tried = append(c.tried[:len(c.tried):len(c.tried)], id)
	t.addInFlight(id, 1)
	t.keepCall(c)
	t.emit(Dispatch{
		Request: c.req.ID, Attempt: c.attempt, Target: target,
		AtMostOnce: c.req.AtMostOnce, Rank: c.class.Rank, Deadline: c.req.Deadline,
	})
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
			Outcome: c.combined, Code: CodeDeadlineExceeded, RetryAfter: retryAfter, Reason: "no place was free before the deadline",
		})
	case c.phase == phaseAsking:
		// In case the request still arrives at the owner.
		t.note(LogOwnerUnreachable, c.group.String(), string(c.owner))
		t.send(c.owner, ReleasePermit{Place: c.permit})
		t.pickLocally(c)
		t.suspectPeer(c.owner)
	case c.phase == phaseQueued:
		// The reply that a place is free may have been lost.
		c.wake = earlier(c.req.Deadline, t.now.Add(queuedPoll))
		t.keepCall(c)
		t.sendPermitRequest(c)
	case c.phase == phaseWaiting:
		t.requestPermit(c)
	}
}
