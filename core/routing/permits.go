// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package routing

import (
	"time"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
)

// Permit is the right to run one request on a target.
type Permit struct {
	Place   ident.PermitID
	Target  ident.Target
	Account ident.Account
	Key     hash.Key
	Work    int64
	Router  ident.Host
	// Incarnation identifies the process of the router that holds the permit.
	Incarnation uint64
	// Until is when the permit expires.
	Until time.Time
}

// Adopt adds permits that routers hold from a previous owner.
func (g Group) Adopt(permits []Permit, now time.Time) Group {
	for _, p := range permits {
		if !g.permits.Has(p.Place) {
			g = g.withPermit(p, now).withForeignReduced(p.Target)
		}
	}
	return g
}

// withForeignReduced takes one request off a target's foreign load: the last load report counted
// the request before its permit was known here.
func (g Group) withForeignReduced(id ident.Target) Group {
	i := g.targetIndex(id)
	if i < 0 || g.targets[i].Foreign == 0 {
		return g
	}
	t := g.targets[i]
	t.Foreign--
	return g.withTarget(i, t)
}

// withPermit adds a permit to the load of its account and target, and records the target as the
// chat's location.
func (g Group) withPermit(p Permit, now time.Time) Group {
	g.permits = g.permits.With(p.Place, p)
	n, _ := g.inFlightByAccount.Get(p.Account)
	g.inFlightByAccount = g.inFlightByAccount.With(p.Account, n+1)
	if i := g.targetIndex(p.Target); i >= 0 {
		g = g.withTarget(i, g.targets[i].withOwnLoad(1, p.Work, now))
	}
	return g.withChatLocation(p.Key, ChatLocation{Target: p.Target})
}

// withoutPermit removes a permit from the load of its account and target. The chat's location
// stays, so that the chat returns to the same target.
func (g Group) withoutPermit(p Permit, now time.Time) Group {
	g.permits = g.permits.Without(p.Place)
	n, _ := g.inFlightByAccount.Get(p.Account)
	if n <= 1 {
		g.inFlightByAccount = g.inFlightByAccount.Without(p.Account)
	} else {
		g.inFlightByAccount = g.inFlightByAccount.With(p.Account, n-1)
	}
	if i := g.targetIndex(p.Target); i >= 0 {
		g = g.withTarget(i, g.targets[i].withOwnLoad(-1, -p.Work, now))
	}
	return g
}

// Grant is a permit granted to a queued or new request.
type Grant struct {
	Request PermitRequest
	Target  ident.Target
	// Known is set if the directory had the chat on that target.
	Known bool
}

// Answer returns the grant as the answer to its router.
func (g Grant) Answer() Granted { return Granted{Target: g.Target, Known: g.Known} }

// HasRequest reports whether the request with the given permit id holds a permit or is queued.
func (g Group) HasRequest(permit ident.PermitID) bool {
	return g.permits.Has(permit) || g.queue.byPermit.Has(permit)
}

// Release releases a permit, or removes its request from the queue, and serves the queue.
func (g Group) Release(permit ident.PermitID, b LoadBound, now time.Time) (Group, []Grant) {
	if p, ok := g.permits.Get(permit); ok {
		g = g.withoutPermit(p, now)
	} else {
		g.queue = g.queue.without(permit)
	}
	return g.ServeQueue(b, now)
}

// DropRouter releases all permits and removes all queued requests of a router, except those of
// its current incarnation; 0 for a router that is gone.
func (g Group) DropRouter(router ident.Host, currentIncarnation uint64, now time.Time) Group {
	for _, p := range g.permits.All() {
		if p.Router == router && p.Incarnation != currentIncarnation {
			g = g.withoutPermit(p, now)
		}
	}
	g.queue = g.queue.withoutRouter(router, currentIncarnation)
	return g
}

// Expire releases expired permits, and removes and returns the requests that have been queued for
// too long.
func (g Group) Expire(now time.Time) (Group, []PermitRequest) {
	for _, p := range g.permits.All() {
		if now.After(p.Until) {
			g = g.withoutPermit(p, now)
		}
	}
	var expired []PermitRequest
	g.queue, expired = g.queue.expire(now)
	return g, expired
}

// ServeQueue grants permits to queued requests, highest priority first, until no target has
// capacity for any.
func (g Group) ServeQueue(b LoadBound, now time.Time) (Group, []Grant) {
	var grants []Grant
	var fullModels []ident.Model
	for {
		req, ok := g.queue.next(g.inFlightByAccount, fullModels)
		if !ok {
			return g, grants
		}
		i, known := g.chooseTarget(req, b, now)
		if i < 0 {
			fullModels = append(fullModels, req.Model)
			continue
		}
		g.queue = g.queue.without(req.Permit)
		var grant Grant
		g, grant = g.grant(req, i, known, now)
		grants = append(grants, grant)
	}
}

func (g Group) grant(req PermitRequest, i int, known bool, now time.Time) (Group, Grant) {
	target := g.targets[i].ID
	g = g.withPermit(Permit{
		Place: req.Permit, Target: target, Account: req.Account, Key: req.Key, Work: req.Work,
		Router: req.Router, Incarnation: req.Incarnation, Until: req.Deadline.Add(permitGrace),
	}, now)
	return g, Grant{Request: req, Target: target, Known: known}
}

// permitGrace is how long a permit is valid after its request's deadline.
const permitGrace = 10 * time.Second
