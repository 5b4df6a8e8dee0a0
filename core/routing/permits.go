// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package routing

import (
	"time"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
)

// Permit is a place on an engine given to one request.
type Permit struct {
	Place   ident.PermitID
	Target  ident.Target
	Account ident.Account
	Key     hash.Key
	Work    int64
	Router  ident.Host
	// Incarnation is the start of the router that holds the permit.
	Incarnation uint64
	// Until is when the permit ends by itself.
	Until time.Time
}

// Adopt counts permits that routers hold from an earlier owner.
func (g Group) Adopt(permits []Permit, now time.Time) Group {
	for _, p := range permits {
		if !g.permits.Has(p.Place) {
			g = g.withPermit(p, now).withLessForeign(p.Target)
		}
	}
	return g
}

// withLessForeign takes one request off an engine's foreign load: it is known
// to be ours now, and the report that showed it is from before.
func (g Group) withLessForeign(id ident.Target) Group {
	i := g.index(id)
	if i < 0 || g.engines[i].Foreign == 0 {
		return g
	}
	e := g.engines[i]
	e.Foreign--
	return g.withEngine(i, e)
}

func (g Group) withPermit(p Permit, now time.Time) Group {
	g.permits = g.permits.With(p.Place, p)
	n, _ := g.accounts.Get(p.Account)
	g.accounts = g.accounts.With(p.Account, n+1)
	if i := g.index(p.Target); i >= 0 {
		g = g.withEngine(i, g.engines[i].withMine(1, p.Work, now))
	}
	return g.withLocation(p.Key, ChatLocation{Target: p.Target})
}

func (g Group) withoutPermit(p Permit, now time.Time) Group {
	g.permits = g.permits.Without(p.Place)
	n, _ := g.accounts.Get(p.Account)
	if n <= 1 {
		g.accounts = g.accounts.Without(p.Account)
	} else {
		g.accounts = g.accounts.With(p.Account, n-1)
	}
	if i := g.index(p.Target); i >= 0 {
		g = g.withEngine(i, g.engines[i].withMine(-1, -p.Work, now))
	}
	return g
}

// Grant is a place given to a request.
type Grant struct {
	Request PermitRequest
	Target  ident.Target
	// Known is true where the chat was remembered on that engine.
	Known bool
}

// Answer returns the grant as the reply to its router.
func (g Grant) Answer() Granted { return Granted{Target: g.Target, Known: g.Known} }

// HasRequest tells whether a place is given or asked for here.
func (g Group) HasRequest(place ident.PermitID) bool {
	return g.permits.Has(place) || g.queue.index.Has(place)
}

// Release frees a place, or takes its request out of the queue, and serves the queue.
func (g Group) Release(place ident.PermitID, b LoadBound, now time.Time) (Group, []Grant) {
	if p, ok := g.permits.Get(place); ok {
		g = g.withoutPermit(p, now)
	} else {
		g.queue = g.queue.without(place)
	}
	return g.ServeQueue(b, now)
}

// DropRouter frees all places held by a router that is gone or has restarted;
// keep is the incarnation that lives, 0 for none.
func (g Group) DropRouter(router ident.Host, keep uint64, now time.Time) Group {
	for _, p := range g.permits.All() {
		if p.Router == router && p.Incarnation != keep {
			g = g.withoutPermit(p, now)
		}
	}
	g.queue = g.queue.withoutRouter(router, keep)
	return g
}

// Expire frees places past their time, and returns the requests that have waited
// too long.
func (g Group) Expire(now time.Time) (Group, []PermitRequest) {
	for _, p := range g.permits.All() {
		if now.After(p.Until) {
			g = g.withoutPermit(p, now)
		}
	}
	var late []PermitRequest
	g.queue, late = g.queue.expire(now)
	return g, late
}

// ServeQueue gives free places to waiting requests, best first.
func (g Group) ServeQueue(b LoadBound, now time.Time) (Group, []Grant) {
	var grants []Grant
	var full []ident.Model
	for {
		req, ok := g.queue.next(g.accounts, full)
		if !ok {
			return g, grants
		}
		i, known := g.choose(req, b, now)
		if i < 0 {
			full = append(full, req.Model)
			continue
		}
		g.queue = g.queue.without(req.Permit)
		var grant Grant
		g, grant = g.grant(req, i, known, now)
		grants = append(grants, grant)
	}
}

func (g Group) grant(req PermitRequest, i int, known bool, now time.Time) (Group, Grant) {
	target := g.engines[i].ID
	g = g.withPermit(Permit{
		Place: req.Permit, Target: target, Account: req.Account, Key: req.Key, Work: req.Work,
		Router: req.Router, Incarnation: req.Incarnation, Until: req.Deadline.Add(permitGrace),
	}, now)
	return g, Grant{Request: req, Target: target, Known: known}
}

// permitGrace is how long a permit outlives its request's deadline. Chosen, not measured.
const permitGrace = 10 * time.Second
