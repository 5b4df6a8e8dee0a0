// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"

	"github.com/yardhall/yardhall/core/crashes"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
)

// A request is admitted where a route takes its host and path, its key is known or not
// needed, and its deadline lies ahead. Whether a refusal is final depends on the lease: a
// host whose table is surely the newest says so for good, any other one sends the caller
// to another host at once, as a newer table may say otherwise. What needs no key is served
// without a valid lease too, but never by a table that is known to have been replaced.
//
// Inputs: the route table and whether its lease is valid, the caller's key and deadline.

const (
	// retryAfter is the advice to callers where something may be repaired soon. Chosen,
	// not measured.
	retryAfter = 300 * time.Millisecond
	// retryAfterElsewhere is the same where another host can take the request now; just
	// long enough for the caller to open another connection. Chosen, not measured.
	retryAfterElsewhere = 20 * time.Millisecond
)

// arrive admits a request and sends it to its first worker, lets it wait for this host
// to start, or refuses it.
func (t *transition) arrive(r Request) {
	t.counters.Requests++
	if t.closing {
		t.refuseForOtherHost(r.ID, CodeDraining, "this host is being stopped")
		return
	}
	if t.calls.Has(r.ID) || t.waiting.Has(r.ID) {
		t.refuseDuplicate(r.ID)
		return
	}
	if t.waitForStart(r) {
		return
	}
	t.probeZones(r)
	t.decide(r, t.now)
}

// decide refuses a request that arrived at a time, or sends it to its first worker.
func (t *transition) decide(r Request, arrived time.Time) {
	if t.number == 0 {
		t.refuse(r.ID, CodeNotReady, "this host has no route table yet", retryAfter)
		return
	}
	c := call{req: r, arrived: arrived, combined: outcome.NotRun}
	if !t.admit(&c) {
		return
	}
	if t.isRefused(c) {
		t.finish(r.ID, t.crashVerdict(c))
		return
	}
	t.earnRetries(c.pool.ID)
	t.dispatch(c, Verdict{Code: CodeNoWorker, Reason: "no worker is known"})
}

// admit resolves route, account, pool and deadline, or refuses the request.
func (t *transition) admit(c *call) bool {
	valid := t.LeaseValid(t.now)
	route, ok := t.index.Route(c.req.Host, c.req.Path)
	if !ok {
		t.refuseByTable(c.req.ID, valid, CodeNoRoute, "no route for host and path")
		return false
	}
	c.route, c.rank = route, route.Rank
	owner, known := t.index.KeyOwner(c.req.KeyHash)
	if !known && !route.Public && t.index.Keyed() {
		t.refuseByTable(c.req.ID, valid, CodeBadKey, "the API key is not known")
		return false
	}
	needsLease := t.newerKnown || known && !route.Public
	if !valid && needsLease {
		t.refuseStale(c.req.ID)
		return false
	}
	if known {
		c.account = owner.Account
		if owner.Ranked {
			c.rank = owner.Rank
		}
	}
	if len(c.req.Digest) > 0 {
		c.content = crashes.ContentOf(string(c.account), c.req.Digest)
	}
	c.pool, _ = t.index.Pool(poolOf(*c))
	return t.admitDeadline(c)
}

// admitDeadline bounds the request by the route's timeout.
func (t *transition) admitDeadline(c *call) bool {
	limit := t.now.Add(time.Duration(c.route.Timeout))
	if c.req.Deadline.IsZero() || c.req.Deadline.After(limit) {
		c.req.Deadline = limit
	}
	if !t.now.Before(c.req.Deadline) {
		t.refuse(c.req.ID, CodeDeadline, "the deadline has passed", 0)
		return false
	}
	return true
}

// poolOf picks the pool that takes the request, by the route's weights.
func poolOf(c call) ident.Service {
	shares := c.route.Shares
	if len(shares) == 1 {
		return shares[0].Pool
	}
	total := 0
	for _, s := range shares {
		total += s.Weight
	}
	at := int(uint64(requestKey(c.req.ID)) % uint64(max(1, total))) //nolint:gosec // Below total, which is an int.
	for _, s := range shares {
		if at < s.Weight {
			return s.Pool
		}
		at -= s.Weight
	}
	return shares[0].Pool
}

// refuse ends a request before any worker was called. after is when the caller may come
// back; 0 gives no advice.
func (t *transition) refuse(id ident.Request, code Code, reason string, after time.Duration) {
	t.finish(id, Verdict{Outcome: outcome.NotRun, Code: code, Reason: reason, RetryAfter: after})
}

// refuseForOtherHost does the same where another host likely takes the request.
func (t *transition) refuseForOtherHost(id ident.Request, code Code, reason string) {
	t.finish(id, Verdict{
		Outcome: outcome.NotRun, Code: code, Reason: reason, RetryAfter: retryAfterElsewhere, TryOtherHost: true,
	})
}

// refuseByTable refuses for good where the lease is valid, and for the moment otherwise.
func (t *transition) refuseByTable(id ident.Request, leaseValid bool, code Code, reason string) {
	if !leaseValid {
		t.refuseStale(id)
		return
	}
	t.refuse(id, code, reason, 0)
}

// refuseStale refuses a request because nothing has confirmed the table in time.
func (t *transition) refuseStale(id ident.Request) {
	t.counters.Stale++
	t.refuseForOtherHost(id, CodeStale, "the configuration was not confirmed in time")
}

// refuseDuplicate ends a second request under an id in use; the first goes on.
func (t *transition) refuseDuplicate(id ident.Request) {
	t.counters.Refused++
	t.out = append(t.out, Finish{Request: id, Verdict: Verdict{
		Outcome: outcome.Unknown, Code: CodeDuplicate, Reason: "a request with this id is in progress",
	}})
}
