// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
)

// arrive checks a request and sends it to its first worker.
func (t *turn) arrive(r Request) {
	t.counters.Requests++
	if t.closing {
		t.refuseHere(r.ID, CodeDraining, "this host is being stopped")
		return
	}
	if t.calls.Has(r.ID) || t.waits.Has(r.ID) {
		t.refuseDuplicate(r.ID)
		return
	}
	if t.wait(r) {
		return
	}
	t.probeZones(r)
	t.decide(r, t.now)
}

// decide ends a request that arrived at a time, or sends it to its first worker.
func (t *turn) decide(r Request, since time.Time) {
	if t.number == 0 {
		t.refuse(r.ID, CodeNotReady, "this host has no route table yet", comeBack)
		return
	}
	c := call{req: r, since: since, worst: outcome.NotRun}
	if !t.admit(&c) {
		return
	}
	t.addRequest(c.pool.ID)
	t.dispatch(c, Verdict{Code: CodeNoWorker, Reason: "no worker is known"})
}

// refuseDuplicate ends a second request under an id in use; the first goes on.
func (t *turn) refuseDuplicate(id ident.Request) {
	t.counters.Refused++
	t.out = append(t.out, Finish{Request: id, Verdict: Verdict{
		Outcome: outcome.Unknown, Code: CodeDuplicate, Reason: "a request with this id is in progress",
	}})
}

// admit resolves route, account, pool and deadline.
func (t *turn) admit(c *call) bool {
	fresh := t.Fresh(t.now)
	route, ok := t.index.Route(c.req.Host, c.req.Path)
	if !ok {
		t.refuseBy(c.req.ID, fresh, CodeNoRoute, "no route for host and path")
		return false
	}
	c.route, c.rank = route, route.Rank
	holder, known := t.index.KeyOwner(c.req.KeyHash)
	if !known && !route.Public && t.index.Keyed() {
		t.refuseBy(c.req.ID, fresh, CodeBadKey, "the API key is not known")
		return false
	}
	if !fresh && (t.behind || known && !route.Public) {
		// What needs no key is served without a word from replicas, but not by a table
		// that is known to have been replaced.
		t.refuseStale(c.req.ID)
		return false
	}
	if known {
		c.account = holder.Account
		if holder.Ranked {
			c.rank = holder.Rank
		}
	}
	c.pool, _ = t.index.Pool(t.share(*c))
	return t.admitDeadline(c)
}

// refuseBy refuses for good where the configuration is surely the newest, and
// for the moment otherwise.
func (t *turn) refuseBy(id ident.Request, fresh bool, code Code, reason string) {
	if !fresh {
		t.refuseStale(id)
		return
	}
	t.refuse(id, code, reason, 0)
}

// refuseStale refuses a request because nothing has confirmed the configuration in
// time: a host that is cut off alone sends callers elsewhere at once.
func (t *turn) refuseStale(id ident.Request) {
	t.counters.Stale++
	t.refuseHere(id, CodeStale, "the configuration was not confirmed in time")
}

// admitDeadline bounds the request by the route's timeout.
func (t *turn) admitDeadline(c *call) bool {
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

// share picks the pool that takes the request, by the route's weights.
func (t *turn) share(c call) ident.Service {
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
