// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/routing"
)

const (
	// targetsPerGroup is the intended number of targets of a group.
	targetsPerGroup = 24
	// probeInterval is the time between load reports requested from a target.
	probeInterval = 2 * time.Second
	// maxEjectedShare is the share of a group's targets that may be ejected for failures.
	maxEjectedShare = 0.5
	// ownerSettleTime is how long a new owner waits before it reports the group's load.
	ownerSettleTime = 2 * time.Second
)

// refreshGroups updates the engines of owned groups from configuration and health.
func (t *transition) refreshGroups() {
	for _, p := range t.sortedGroups() {
		g, ok := t.groups.Get(p.id.String())
		if !ok {
			continue
		}
		g = g.WithTargets(t.engineSpecs(p.id, p.targets), t.now)
		t.groups = t.groups.With(p.id.String(), g)
		t.grantWaiting(g)
	}
}

// tickGroups redirects queued requests that a less loaded group may serve and refuses those that
// have waited too long. Every probeInterval it also refreshes the owned groups and probes their
// targets.
func (t *transition) tickGroups() {
	for id, g := range t.groups.All() {
		next, expired := g.Expire(t.now)
		next, redirected, destination := next.Reroute(t.loadBoundIfWaiting(next))
		t.groups = t.groups.With(id, next)
		for _, req := range redirected {
			t.sendPermitReply(req, routing.Elsewhere{Group: destination})
		}
		for _, req := range expired {
			t.sendPermitReply(req, routing.Refused{Reason: routing.ReasonTimeout, RetryAfter: defaultRetryAfter})
		}
	}
	if t.now.Before(t.nextProbeAt) {
		return
	}
	t.nextProbeAt = t.now.Add(probeInterval)
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

// loadBound returns the load bound of a group: its service's multiple, and the loads of the
// service's other groups.
func (t *transition) loadBound(id routing.GroupID) routing.LoadBound {
	s, _ := t.config.Services.Get(id.Service)
	b := routing.LoadBound{LoadFactor: s.Multiple}
	for _, l := range t.groupLoads[id.Service] {
		if l.Group != id {
			b.OtherGroups = append(b.OtherGroups, l)
		}
	}
	for _, g := range t.groups.All() {
		if g.ID.Service == id.Service && g.ID != id {
			b.OtherGroups = append(b.OtherGroups, groupLoad(g))
		}
	}
	return b
}

// loadBoundIfWaiting returns the load bound, or the zero value, which is cheaper, if no request
// waits for it.
func (t *transition) loadBoundIfWaiting(g routing.Group) routing.LoadBound {
	if g.QueueLength() == 0 {
		return routing.LoadBound{}
	}
	return t.loadBound(g.ID)
}

// gatherLoads collects the latest load reports of live owners by service.
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
	t.groupLoads = loads
}

func groupLoad(g routing.Group) routing.GroupLoad {
	return routing.GroupLoad{Group: g.ID, Load: g.TotalLoad(), Usable: g.UsableTargets(), Waiting: g.QueueLength()}
}

func (t *transition) ownGroupLoads() []routing.GroupLoad {
	var out []routing.GroupLoad
	for _, g := range t.groups.All() {
		// A new owner does not know its load until routers have reported their permits; a low
		// report would attract requests from all groups.
		if t.now.Sub(g.OwnedSince) >= ownerSettleTime {
			out = append(out, groupLoad(g))
		}
	}
	return out
}

// handleRequestPermit answers a permit request for an owned group. Requests that are evicted from
// the queue to make room are refused at once. For any other group it replies NotOwner, and the
// router picks a target itself.
func (t *transition) handleRequestPermit(from ident.Host, m RequestPermit) {
	g, ok := t.groups.Get(m.Group.String())
	if !ok {
		t.send(from, NotOwner{Place: m.Place})
		return
	}
	req := t.newPermitRequest(from, m)
	g, answer := g.RequestPermit(req, t.loadBound(m.Group), t.now)
	g, shed := g.TakeShed()
	t.groups = t.groups.With(m.Group.String(), g)
	for _, a := range shed {
		t.sendPermitReply(a, routing.Refused{Reason: routing.ReasonShed, RetryAfter: defaultRetryAfter})
	}
	t.countPermitAnswer(answer)
	t.sendPermitReply(req, answer)
}

// newPermitRequest completes a permit request with the fields that come from the configuration
// instead of the message.
func (t *transition) newPermitRequest(from ident.Host, m RequestPermit) routing.PermitRequest {
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

func (t *transition) countPermitAnswer(a routing.Answer) {
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

func (t *transition) sendPermitReply(req routing.PermitRequest, a routing.Answer) {
	t.send(req.Router, PermitReply{Place: req.Permit, Answer: a})
}

// handleReleasePermit releases a permit or removes its queued request, and grants the freed
// capacity. It searches all owned groups, as the message does not name the group.
func (t *transition) handleReleasePermit(m ReleasePermit) {
	for key, g := range t.groups.All() {
		if !g.HasRequest(m.Place) {
			continue
		}
		next, grants := g.Release(m.Place, t.loadBoundIfWaiting(g), t.now)
		t.groups = t.groups.With(key, next)
		t.sendGrants(grants)
		return
	}
}

// grantWaiting grants free capacity to queued requests.
func (t *transition) grantWaiting(g routing.Group) {
	if g.QueueLength() == 0 {
		return
	}
	g, grants := g.ServeQueue(t.loadBound(g.ID), t.now)
	t.groups = t.groups.With(g.ID.String(), g)
	t.sendGrants(grants)
}

func (t *transition) sendGrants(grants []routing.Grant) {
	for _, grant := range grants {
		t.countPermitAnswer(grant.Answer())
		t.sendPermitReply(grant.Request, grant.Answer())
	}
}

func (t *transition) handleAdoptPermits(m AdoptPermits) {
	g, ok := t.groups.Get(m.Group.String())
	if !ok {
		return
	}
	t.counters.Adopted += uint64(len(m.Permits))
	t.groups = t.groups.With(m.Group.String(), g.Adopt(m.Permits, t.now))
}

func (t *transition) dropRouterPermits(id ident.Host, keepIncarnation uint64) {
	for key, g := range t.groups.All() {
		g = g.DropRouter(id, keepIncarnation, t.now)
		t.groups = t.groups.With(key, g)
		t.grantWaiting(g)
	}
}

// handOverChats sends the chats of a group to its next owner in messages of bounded size. Queued
// requests are not handed over: their routers send them again.
func (t *transition) handOverChats(g routing.Group, owner ident.Host) {
	if owner == "" {
		return
	}
	for chats := range slices.Chunk(g.Chats(), chatsPerMessage) {
		t.send(owner, AdoptChats{Group: g.ID, Chats: chats})
	}
}

// chatsPerMessage bounds the chats in an AdoptChats message.
const chatsPerMessage = 2048

// handleAdoptChats stores the chats of a group, as its new owner or as its backup.
func (t *transition) handleAdoptChats(m AdoptChats) {
	key := m.Group.String()
	if g, ok := t.groups.Get(key); ok {
		t.groups = t.groups.With(key, g.AdoptChats(m.Chats))
		return
	}
	d, _ := t.chatBackups.Get(key)
	d.MaxChats = t.settings.MaxChatsPerGroup
	for _, c := range m.Chats {
		d = d.With(c.Key, c.Place)
	}
	t.chatBackups = t.chatBackups.With(key, d)
}

// backUpChats sends the chats placed since the last heartbeat to each group's next owner in line.
func (t *transition) backUpChats() {
	for key, g := range t.groups.All() {
		next, moved := g.TakePlacements()
		t.groups = t.groups.With(key, next)
		to, ok := t.nextOwner(g.ID)
		if !ok {
			continue
		}
		for chats := range slices.Chunk(moved, chatsPerMessage) {
			t.send(to, AdoptChats{Group: g.ID, Chats: chats})
		}
	}
}
