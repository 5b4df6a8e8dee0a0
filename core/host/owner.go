// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/routing"
)

const (
	// groupSize is the number of targets a group aims at. Chosen, not measured.
	groupSize = 24
	// probeInterval is the time between two load reports asked of a target.
	// Chosen, not measured.
	probeInterval = 2 * time.Second
	// maxEjected is the share of a group that failures may take away. Chosen, not measured.
	maxEjected = 0.5
	// settleTime is how long a new owner waits before it reports a load.
	// Chosen, not measured.
	settleTime = 2 * time.Second
)

// refreshGroups brings the owned groups' engines to configuration and health.
func (t *transition) refreshGroups() {
	for _, p := range t.sortedGroups() {
		g, ok := t.groups.Get(p.id.String())
		if !ok {
			continue
		}
		g = g.WithTargets(t.specs(p.id, p.targets), t.now)
		t.groups = t.groups.With(p.id.String(), g)
		t.serve(g)
	}
}

func (t *transition) tickGroups() {
	for id, g := range t.groups.All() {
		next, late := g.Expire(t.now)
		next, moved, to := next.Reroute(t.boundIfWaiting(next))
		t.groups = t.groups.With(id, next)
		for _, req := range moved {
			t.replyToRequest(req, routing.Elsewhere{Group: to})
		}
		for _, req := range late {
			t.replyToRequest(req, routing.Refused{Reason: routing.ReasonTimeout, RetryAfter: retryAfter})
		}
	}
	if t.now.Before(t.probeAt) {
		return
	}
	t.probeAt = t.now.Add(probeInterval)
	t.refreshGroups()
	for _, p := range t.sortedGroups() {
		if !t.groups.Has(p.id.String()) {
			continue
		}
		for _, target := range p.targets {
			t.emit(Probe{Target: target})
		}
	}
}

// bound is the rule of a service with what other owners report.
func (t *transition) bound(id routing.GroupID) routing.LoadBound {
	s, _ := t.config.Services.Get(id.Service)
	b := routing.LoadBound{LoadFactor: s.Multiple}
	for _, l := range t.loads[id.Service] {
		if l.Group != id {
			b.OtherGroups = append(b.OtherGroups, l)
		}
	}
	for _, g := range t.groups.All() {
		if g.ID.Service == id.Service && g.ID != id {
			b.OtherGroups = append(b.OtherGroups, loadOf(g))
		}
	}
	return b
}

// boundIfWaiting saves the work where nobody waits for the bound's answer.
func (t *transition) boundIfWaiting(g routing.Group) routing.LoadBound {
	if g.QueueLength() == 0 {
		return routing.LoadBound{}
	}
	return t.bound(g.ID)
}

// gatherLoads keeps what live owners last reported, by service.
func (t *transition) gatherLoads() {
	loads := map[ident.Service][]routing.GroupLoad{}
	for _, p := range t.peers.All() {
		if !p.alive {
			continue
		}
		for _, l := range p.heartbeat.Loads {
			loads[l.Group.Service] = append(loads[l.Group.Service], l)
		}
	}
	t.loads = loads
}

func loadOf(g routing.Group) routing.GroupLoad {
	return routing.GroupLoad{Group: g.ID, Load: g.TotalLoad(), Usable: g.UsableTargets(), Waiting: g.QueueLength()}
}

func (t *transition) ownLoads() []routing.GroupLoad {
	var out []routing.GroupLoad
	for _, g := range t.groups.All() {
		// A new owner does not know its load until routers have reported their permits; a low
		// number would draw everyone here.
		if t.now.Sub(g.OwnedSince) >= settleTime {
			out = append(out, loadOf(g))
		}
	}
	return out
}

func (t *transition) permitRequested(from ident.Host, m RequestPermit) {
	g, ok := t.groups.Get(m.Group.String())
	if !ok {
		t.send(from, NotOwner{Place: m.Place})
		return
	}
	req := t.permitRequestOf(from, m)
	g, answer := g.RequestPermit(req, t.bound(m.Group), t.now)
	g, shed := g.TakeShed()
	t.groups = t.groups.With(m.Group.String(), g)
	for _, a := range shed {
		t.replyToRequest(a, routing.Refused{Reason: routing.ReasonShed, RetryAfter: retryAfter})
	}
	t.countAnswer(answer)
	t.replyToRequest(req, answer)
}

// permitRequestOf completes a request from the configuration, which the wire need not
// carry.
func (t *transition) permitRequestOf(from ident.Host, m RequestPermit) routing.PermitRequest {
	account, _ := t.config.Accounts.Get(m.Account)
	class, ok := t.config.Classes.Get(m.Class)
	if !ok {
		class.Rank = defaultRank
	}
	return routing.PermitRequest{
		Permit: m.Place, Router: from, Incarnation: t.incarnationOf(from),
		Account: m.Account, Weight: account.Weight, Rank: class.Rank, QueueLimit: class.QueueLimit,
		MaxWait: time.Duration(class.MaxWait), Model: m.Model, Key: m.Chat, Work: m.Work,
		Deadline: t.now.Add(m.Within), Exclude: m.Exclude, Final: m.Final,
	}
}

func (t *transition) incarnationOf(h ident.Host) uint64 {
	if h == t.settings.ID {
		return t.settings.Incarnation
	}
	p, _ := t.peers.Get(h)
	return p.heartbeat.Incarnation
}

func (t *transition) countAnswer(a routing.Answer) {
	switch a := a.(type) {
	case routing.Granted:
		t.counters.Grants++
		if a.Known {
			t.counters.KnownGrants++
		}
	case routing.Queued:
		t.counters.Queued++
	case routing.Elsewhere:
		t.counters.Elsewhere++
	case routing.Refused:
		t.counters.Refused++
	}
}

func (t *transition) replyToRequest(req routing.PermitRequest, a routing.Answer) {
	t.send(req.Router, PermitReply{Place: req.Permit, Answer: a})
}

func (t *transition) permitReleased(m ReleasePermit) {
	for key, g := range t.groups.All() {
		if !g.HasRequest(m.Place) {
			continue
		}
		next, grants := g.Release(m.Place, t.boundIfWaiting(g), t.now)
		t.groups = t.groups.With(key, next)
		t.sendGrants(grants)
		return
	}
}

// serve gives places that became free to waiting requests.
func (t *transition) serve(g routing.Group) {
	if g.QueueLength() == 0 {
		return
	}
	g, grants := g.ServeQueue(t.bound(g.ID), t.now)
	t.groups = t.groups.With(g.ID.String(), g)
	t.sendGrants(grants)
}

func (t *transition) sendGrants(grants []routing.Grant) {
	for _, grant := range grants {
		t.countAnswer(grant.Answer())
		t.replyToRequest(grant.Request, grant.Answer())
	}
}

func (t *transition) permitsAdopted(m AdoptPermits) {
	g, ok := t.groups.Get(m.Group.String())
	if !ok {
		return
	}
	t.counters.Adopted += uint64(len(m.Permits))
	t.groups = t.groups.With(m.Group.String(), g.Adopt(m.Permits, t.now))
}

func (t *transition) dropRouter(id ident.Host, keep uint64) {
	for key, g := range t.groups.All() {
		g = g.DropRouter(id, keep, t.now)
		t.groups = t.groups.With(key, g)
		t.serve(g)
	}
}

// handOverGroup passes what is remembered of chats to the next owner, in
// messages of bounded size; requests that wait are asked anew by their routers.
func (t *transition) handOverGroup(g routing.Group, owner ident.Host) {
	if owner == "" {
		return
	}
	for chats := range slices.Chunk(g.Chats(), handOverChunk) {
		t.send(owner, AdoptChats{Group: g.ID, Chats: chats})
	}
}

// handOverChunk bounds the chats in one AdoptChats. Chosen, not measured.
const handOverChunk = 2048

// adoptChats takes over what an owner remembers: as its successor, or as its
// backup until then.
func (t *transition) adoptChats(m AdoptChats) {
	key := m.Group.String()
	if g, ok := t.groups.Get(key); ok {
		t.groups = t.groups.With(key, g.AdoptChats(m.Chats))
		return
	}
	d, _ := t.backups.Get(key)
	d.MaxChats = t.settings.MaxChatsPerGroup
	for _, c := range m.Chats {
		d = d.With(c.Key, c.Place)
	}
	t.backups = t.backups.With(key, d)
}

// backUpChats tells each group's next owner in line which chats were placed
// since the last beat.
func (t *transition) backUpChats() {
	for key, g := range t.groups.All() {
		next, moved := g.TakePlacements()
		t.groups = t.groups.With(key, next)
		to, ok := t.nextOwner(g.ID)
		if !ok {
			continue
		}
		for chats := range slices.Chunk(moved, handOverChunk) {
			t.send(to, AdoptChats{Group: g.ID, Chats: chats})
		}
	}
}
