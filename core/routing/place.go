// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package routing

import (
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
)

// A group's owner answers a request for a permit in this order: a request that comes again
// gets its answer again; nobody overtakes those that wait in the same or a better class; a
// chat that was sent to another group is sent back there while that group is not the fuller;
// a returning chat gets the engine that it was on, if that one is under its limit (bound.go);
// any other request the first engine of its chat's rendezvous order that is under the mean,
// else the least loaded one. Where no engine has room, the request goes to the group with
// the lowest mean, if that is below this group's, and else waits (queue.go).
//
// Inputs: the engines' exact loads and slots, what the group remembers of chats, the other
// groups' loads, the rank of the request's class.
const (
	// reserveShare of each engine's slots is kept for rank 0, so that urgent requests
	// need not wait for others. Chosen; measured in a surge: urgent requests waited 2 ms
	// at the 99th percentile, with the surge and without.
	reserveShare = 0.1
	// slowStart is how long an engine that returns takes to its full part, minSlowStart
	// its part at the beginning. Chosen, not measured.
	slowStart    = 10 * time.Second
	minSlowStart = 0.2
)

// RequestPermit places a request, queues it, sends it elsewhere or refuses it.
func (g Group) RequestPermit(req PermitRequest, b LoadBound, now time.Time) (Group, Answer) {
	if answer, ok := g.answered(req.Permit); ok {
		return g, answer
	}
	if req.Rank > 0 && g.queue.waitingBefore(req) {
		// Nobody overtakes those that wait in the same or a better class.
		return g.unplaced(req, b, now)
	}
	if p, ok := g.directory.Get(req.Key); ok && p.Group != (GroupID{}) && !req.Final && g.worthSendingBack(b, p.Group) {
		return g, Elsewhere{Group: p.Group}
	}
	i, known := g.choose(req, b, now)
	if i >= 0 {
		var grant Grant
		g, grant = g.grant(req, i, known, now)
		return g, grant.Answer()
	}
	return g.unplaced(req, b, now)
}

// answered repeats the answer to a request that comes again, doubled or because
// its answer was lost.
func (g Group) answered(place ident.PermitID) (Answer, bool) {
	if p, ok := g.permits.Get(place); ok {
		return Granted{Target: p.Target, Known: true}, true
	}
	if g.queue.index.Has(place) {
		return Queued{}, true
	}
	return nil, false
}

// worthSendingBack tells whether a chat that was sent to another group may go there
// again: not where that one is the fuller by now.
func (g Group) worthSendingBack(b LoadBound, id GroupID) bool {
	most := g.mean(b) * (1 + (b.LoadFactor-1)*sendBackShare)
	return slices.ContainsFunc(b.OtherGroups, func(l GroupLoad) bool {
		return l.Group == id && l.Usable > 0 && (b.LoadFactor == 0 || float64(l.Load) <= most*float64(l.Usable))
	})
}

// unplaced finds what to do with a request that no engine here may take.
func (g Group) unplaced(req PermitRequest, b LoadBound, now time.Time) (Group, Answer) {
	if !req.Final {
		if to, ok := g.lighterGroup(b); ok {
			return g.withLocation(req.Key, ChatLocation{Group: to}), Elsewhere{Group: to}
		}
	}
	if !g.anyServes(req) {
		return g, Refused{Reason: ReasonNoTarget, RetryAfter: retryAfter}
	}
	return g.enqueue(req, now)
}

func (g Group) anyServes(req PermitRequest) bool {
	return slices.ContainsFunc(g.engines, func(e Target) bool { return g.eligible(e, req) })
}

// lighterGroup returns the other group with the lowest mean, if it is below ours.
func (g Group) lighterGroup(b LoadBound) (GroupID, bool) {
	best, found := GroupLoad{}, false
	for _, o := range b.OtherGroups {
		if o.Usable == 0 || o.Waiting > 0 {
			continue
		}
		if !found || o.Load*best.Usable < best.Load*o.Usable {
			best, found = o, true
		}
	}
	if !found || best.Load*g.UsableTargets() >= g.total*best.Usable && g.UsableTargets() > 0 {
		return GroupID{}, false
	}
	return best.Group, true
}

func (g Group) eligible(e Target, req PermitRequest) bool {
	return e.Usable && e.serves(req.Model) && !slices.Contains(req.Exclude, e.ID)
}

// choose returns the engine for a request, or -1, and whether the chat is known there. A returning chat stays where it was unless that breaks the bound;
// others go to the first engine of their rendezvous order that has room, else to
// the least loaded.
func (g Group) choose(req PermitRequest, b LoadBound, now time.Time) (int, bool) {
	mean := g.mean(b)
	if p, ok := g.directory.Get(req.Key); ok && p.Target != "" {
		i := g.index(p.Target)
		if i >= 0 && g.eligible(g.engines[i], req) && fits(g.engines[i], req, limit(b, mean, returningShare)) {
			return i, true
		}
	}
	if req.Final {
		// Sent here by a group that is fuller: what others reported may be a
		// second old, so the group's own mean counts where it is higher.
		mean = max(mean, g.mean(LoadBound{}))
	}
	if i := g.first(req, limit(b, mean, newShare), now); i >= 0 {
		return i, false
	}
	return g.leastLoaded(req, limit(b, mean, newShare), now), false
}

// first returns the first engine of the chat's rendezvous order that is not
// above its part of most. A chat whose place was forgotten with an owner that
// died thus finds its engine again.
func (g Group) first(req PermitRequest, most int, now time.Time) int {
	if req.Key == 0 {
		return -1
	}
	best := -1
	var top uint64
	for i, e := range g.engines {
		if !g.eligible(e, req) || !fits(e, req, int(float64(most)*slowStartPart(e, now))) {
			continue
		}
		if score := hash.Mix(req.Key, e.key); best < 0 || score > top {
			best, top = i, score
		}
	}
	return best
}

func (g Group) leastLoaded(req PermitRequest, most int, now time.Time) int {
	best := -1
	var bestLoad float64
	var bestScore uint64
	for i, e := range g.engines {
		if !g.eligible(e, req) || !fits(e, req, most) {
			continue
		}
		load := float64(e.Load()) / slowStartPart(e, now)
		score := hash.Mix(req.Key, e.key)
		if best < 0 || load < bestLoad || (load == bestLoad && score > bestScore) {
			best, bestLoad, bestScore = i, load, score
		}
	}
	return best
}

// fits tells whether e may take one more.
func fits(e Target, req PermitRequest, most int) bool {
	slots := e.Slots
	if req.Rank > 0 {
		slots -= int(reserveShare * float64(e.Slots))
	}
	return e.Load()+1 <= min(most, slots)
}

// slowStartPart rises from minSlowStart to 1 while an engine that came back warms.
func slowStartPart(e Target, now time.Time) float64 {
	up := now.Sub(e.Since)
	if e.Since.IsZero() || up >= slowStart {
		return 1
	}
	return minSlowStart + (1-minSlowStart)*float64(up)/float64(slowStart)
}
