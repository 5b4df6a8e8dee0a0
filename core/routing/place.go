// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package routing

import (
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
)

// A group's owner handles a request for a permit in this order. A repeated request gets the same
// answer again. A request does not overtake those queued with the same or a higher priority. A
// chat that was redirected to another group is redirected there again unless that group has
// become the more loaded one. A returning chat gets its previous target if that is below its
// limit (bound.go). Any other request gets the first target in the chat's rendezvous order that
// is below the mean, or else the least loaded one. If no target has capacity, the request is
// redirected to the group with the lowest mean load, if that is below this group's, and is queued
// otherwise (queue.go).
const (
	// reservedShare is the part of each target's slots kept for rank 0, so that urgent requests
	// need not wait for others.
	reservedShare = 0.1
	// slowStartDuration is how long a target that becomes usable takes to reach its full share of
	// the load, minSlowStartFactor its share at the beginning.
	slowStartDuration  = 10 * time.Second
	minSlowStartFactor = 0.2
)

// RequestPermit grants a permit to a request, queues it, redirects it to another group, or
// refuses it.
func (g Group) RequestPermit(req PermitRequest, b LoadBound, now time.Time) (Group, Answer) {
	if answer, ok := g.previousAnswer(req.Permit); ok {
		return g, answer
	}
	if req.Rank > 0 && g.queue.hasWaitingAhead(req) {
		// A request must not overtake those queued with the same or a higher priority.
		return g.redirectOrQueue(req, b, now)
	}
	if p, ok := g.directory.Get(req.Key); ok && p.Group != (GroupID{}) && !req.Final && g.shouldRedirect(b, p.Group) {
		return g, Elsewhere{Group: p.Group}
	}
	i, known := g.chooseTarget(req, b, now)
	if i >= 0 {
		var grant Grant
		g, grant = g.grant(req, i, known, now)
		return g, grant.Answer()
	}
	return g.redirectOrQueue(req, b, now)
}

// previousAnswer repeats the answer to a request that arrives again, as a duplicate or because
// its answer was lost.
func (g Group) previousAnswer(permit ident.PermitID) (Answer, bool) {
	if p, ok := g.permits.Get(permit); ok {
		return Granted{Target: p.Target, Known: true}, true
	}
	if g.queue.byPermit.Has(permit) {
		return Queued{}, true
	}
	return nil, false
}

// shouldRedirect reports whether a chat that was redirected to another group is redirected there
// again: only while that group is not much more loaded than the mean.
func (g Group) shouldRedirect(b LoadBound, id GroupID) bool {
	allowed := g.meanLoad(b) * (1 + (b.LoadFactor-1)*redirectShare)
	return slices.ContainsFunc(b.OtherGroups, func(l GroupLoad) bool {
		return l.Group == id && l.Usable > 0 && (b.LoadFactor == 0 || float64(l.Load) <= allowed*float64(l.Usable))
	})
}

// redirectOrQueue handles a request for which no target of this group has capacity.
func (g Group) redirectOrQueue(req PermitRequest, b LoadBound, now time.Time) (Group, Answer) {
	if !req.Final {
		if to, ok := g.leastLoadedGroup(b); ok {
			return g.withChatLocation(req.Key, ChatLocation{Group: to}), Elsewhere{Group: to}
		}
	}
	if !g.anyEligible(req) {
		return g, Refused{Reason: ReasonNoTarget, RetryAfter: retryAfter}
	}
	return g.enqueue(req, now)
}

func (g Group) anyEligible(req PermitRequest) bool {
	return slices.ContainsFunc(g.targets, func(t Target) bool { return g.eligible(t, req) })
}

// leastLoadedGroup returns the other group with the lowest mean load, if that is below this
// group's.
func (g Group) leastLoadedGroup(b LoadBound) (GroupID, bool) {
	best, found := GroupLoad{}, false
	for _, o := range b.OtherGroups {
		if o.Usable == 0 || o.Waiting > 0 {
			continue
		}
		if !found || o.Load*best.Usable < best.Load*o.Usable {
			best, found = o, true
		}
	}
	if !found || best.Load*g.UsableTargets() >= g.totalLoad*best.Usable && g.UsableTargets() > 0 {
		return GroupID{}, false
	}
	return best.Group, true
}

func (g Group) eligible(t Target, req PermitRequest) bool {
	return t.Usable && t.serves(req.Model) && !slices.Contains(req.Exclude, t.ID)
}

// chooseTarget returns the index of the target for a request, or -1, and whether the directory
// had the chat there. A returning chat stays on its target unless that violates the bound; other
// requests get the first target in rendezvous order that has capacity, or else the least loaded
// one.
func (g Group) chooseTarget(req PermitRequest, b LoadBound, now time.Time) (int, bool) {
	mean := g.meanLoad(b)
	if p, ok := g.directory.Get(req.Key); ok && p.Target != "" {
		i := g.targetIndex(p.Target)
		if i >= 0 && g.eligible(g.targets[i], req) && hasCapacity(g.targets[i], req, maxLoad(b, mean, returningChatShare)) {
			return i, true
		}
	}
	if req.Final {
		// Redirected by a more loaded group. Loads reported by others may be a second old, so
		// this group's own mean is used if it is higher.
		mean = max(mean, g.meanLoad(LoadBound{}))
	}
	if i := g.firstInRendezvousOrder(req, maxLoad(b, mean, newChatShare), now); i >= 0 {
		return i, false
	}
	return g.leastLoadedTarget(req, maxLoad(b, mean, newChatShare), now), false
}

// firstInRendezvousOrder returns the first target in the chat's rendezvous order that has
// capacity within its slow-start share of limit. After the loss of an owner and its directory, a
// chat thus returns to the same target.
func (g Group) firstInRendezvousOrder(req PermitRequest, limit int, now time.Time) int {
	if req.Key == 0 {
		return -1
	}
	best := -1
	var bestScore uint64
	for i, t := range g.targets {
		if !g.eligible(t, req) || !hasCapacity(t, req, int(float64(limit)*slowStartFactor(t, now))) {
			continue
		}
		if score := hash.Mix(req.Key, t.key); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// leastLoadedTarget returns the index of the eligible target with the lowest load that has capacity
// within limit, or -1. During its slow start a target counts as more loaded than it is. Ties are
// broken by rendezvous score.
func (g Group) leastLoadedTarget(req PermitRequest, limit int, now time.Time) int {
	best := -1
	var bestLoad float64
	var bestScore uint64
	for i, t := range g.targets {
		if !g.eligible(t, req) || !hasCapacity(t, req, limit) {
			continue
		}
		load := float64(t.Load()) / slowStartFactor(t, now)
		score := hash.Mix(req.Key, t.key)
		if best < 0 || load < bestLoad || (load == bestLoad && score > bestScore) {
			best, bestLoad, bestScore = i, load, score
		}
	}
	return best
}

// hasCapacity reports whether t may take one more request.
func hasCapacity(t Target, req PermitRequest, limit int) bool {
	slots := t.Slots
	if req.Rank > 0 {
		slots -= int(reservedShare * float64(t.Slots))
	}
	return t.Load()+1 <= min(limit, slots)
}

// slowStartFactor rises from minSlowStartFactor to 1 during the slow start of a target.
func slowStartFactor(t Target, now time.Time) float64 {
	up := now.Sub(t.Since)
	if t.Since.IsZero() || up >= slowStartDuration {
		return 1
	}
	return minSlowStartFactor + (1-minSlowStartFactor)*float64(up)/float64(slowStartDuration)
}
