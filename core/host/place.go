// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"cmp"
	"slices"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/routing"
)

// requestPermit sends a plain service's call to a target, and requests a permit for an engine call
// from the owner of its chat's group.
func (t *transition) requestPermit(c call) {
	if c.service.Kind == config.KindPlain {
		t.pickPlainTarget(c)
		return
	}
	id, ok := t.pickGroup(c)
	if !ok {
		t.finishCall(c, t.noTargetVerdict(c))
		return
	}
	t.requestGroupPermit(c, id, false)
}

func (t *transition) noTargetVerdict(c call) Verdict {
	return Verdict{
		Outcome: c.combinedOutcome, Code: CodeNoTarget, RetryAfter: cmp.Or(t.shortestBackoff(c), defaultRetryAfter),
		Reason: "no target is available for the request",
	}
}

// pickGroup picks the chat's group by rendezvous hashing, weighted by the number of engines that
// hold the model. Groups without an owner or a usable engine are skipped.
func (t *transition) pickGroup(c call) (routing.GroupID, bool) {
	best, fallback := routing.GroupID{}, routing.GroupID{}
	var bestScore, fallbackScore float64
	key := c.request.Chat
	if key == 0 {
		key = hash.Of(string(c.request.ID))
	}
	for _, p := range t.layout.groupsByService[c.service.ID] {
		holders := p.modelHolders[c.request.Model]
		if holders == 0 || t.layout.owners[p.id] == "" || t.hasNoUsableEngine(p.id) {
			continue
		}
		score := hash.Weighted(key, p.key, float64(holders))
		if slices.Contains(c.avoidGroups, p.id) {
			if score > fallbackScore {
				fallback, fallbackScore = p.id, score
			}
			continue
		}
		if score > bestScore {
			best, bestScore = p.id, score
		}
	}
	if bestScore == 0 {
		// All other groups were unreachable: retry one that failed.
		return fallback, fallbackScore > 0
	}
	return best, true
}

// hasNoUsableEngine reports whether the group's owner last reported no usable engine.
func (t *transition) hasNoUsableEngine(id routing.GroupID) bool {
	owner := t.layout.owners[id]
	if owner == t.settings.ID {
		g, ok := t.groups.Get(id.String())
		return ok && g.UsableTargets() == 0
	}
	for _, l := range t.groupLoads[id.Service] {
		if l.Group == id {
			return l.Usable == 0
		}
	}
	return false
}

// requestGroupPermit requests a permit from the group's owner under a new id, so that a late reply
// to an earlier request is recognized. After maxRedirects the owner may no longer redirect the
// request. If no reply arrives within permitTimeout, handleTimer runs the call without a permit.
func (t *transition) requestGroupPermit(c call, id routing.GroupID, final bool) {
	c.phase = phaseRequestingPermit
	c.group = id
	c.owner = t.layout.owners[id]
	c.target = ""
	c.permitRequests++
	c.permit = ident.PermitIDOf(c.request.ID, c.permitRequests)
	c.final = final || c.redirects >= maxRedirects
	c.timerAt = earlierTime(c.request.Deadline, t.now.Add(permitTimeout))
	t.storeCall(c)
	t.sendPermitRequest(c)
}

// sendPermitRequest sends or resends the call's current permit request. The owner repeats its
// answer to a request that it already has.
func (t *transition) sendPermitRequest(c call) {
	t.send(c.owner, RequestPermit{
		Group: c.group, Place: c.permit, Account: c.account.ID, Class: c.class.ID, Model: c.request.Model,
		Chat: c.request.Chat, Work: c.request.Work, Within: c.request.Deadline.Sub(t.now),
		Exclude: t.excludedTargets(c), Final: c.final,
	})
}

// handlePermitReply continues a call after its owner's answer. A permit that is no longer wanted is
// released.
func (t *transition) handlePermitReply(from ident.Host, m PermitReply) {
	c, ok := t.calls.Get(m.Place.Request())
	awaitingReply := ok && c.permit == m.Place && (c.phase == phaseRequestingPermit || c.phase == phaseQueued)
	switch a := m.Answer.(type) {
	case routing.Granted:
		if !awaitingReply {
			t.releaseUnusedPermit(from, m, c, ok)
			return
		}
		if !t.canSendTo(a.Target) {
			t.send(from, ReleasePermit{Place: m.Place})
			t.requestPermit(c)
			return
		}
		t.dispatchCall(c, a.Target)
	case routing.Queued:
		if awaitingReply {
			c.phase, c.timerAt = phaseQueued, earlierTime(c.request.Deadline, t.now.Add(queuedPollInterval))
			t.storeCall(c)
		}
	case routing.Elsewhere:
		if awaitingReply {
			c.redirects++
			t.requestGroupPermit(c, a.Group, true)
		}
	case routing.Refused:
		if awaitingReply {
			c.owner = ""
			t.finishCall(c, refusedVerdict(c, a))
		}
	}
}

// releaseUnusedPermit releases a permit that arrived too late, unless the call already runs under
// it, which means that the answer was a duplicate.
func (t *transition) releaseUnusedPermit(from ident.Host, m PermitReply, c call, known bool) {
	if known && c.phase == phaseRunning && c.permit == m.Place && c.owner != "" {
		return
	}
	t.send(from, ReleasePermit{Place: m.Place})
}

func refusedVerdict(c call, a routing.Refused) Verdict {
	v := Verdict{Outcome: c.combinedOutcome, Code: CodeOverloaded, RetryAfter: a.RetryAfter}
	switch a.Reason {
	case routing.ReasonNoTarget:
		v.Code, v.Reason = CodeNoTarget, "no target is available for the request"
	case routing.ReasonTimeout:
		v.Reason = "no engine became available in time"
	case routing.ReasonShed, routing.ReasonQueueFull, routing.ReasonOverBound:
		v.Reason = "too many requests are queued for the engines"
	}
	return v
}

func (t *transition) handleNotOwner(m NotOwner) {
	c, ok := t.calls.Get(m.Place.Request())
	if ok && (c.phase == phaseRequestingPermit || c.phase == phaseQueued) && c.permit == m.Place {
		t.pickWithoutPermit(c)
	}
}

// pickWithoutPermit picks an engine by this host's own view if the owner does not answer: the one
// with the fewest requests from this host. Ties are broken by rendezvous hashing, so that hosts
// that pick at the same time pick different engines, and a chat gets the same one again.
func (t *transition) pickWithoutPermit(c call) {
	t.counters.Fallbacks++
	c.owner = ""
	var best config.Target
	lowestInFlight, bestScore := -1, uint64(0)
	for _, target := range t.localCandidates(c) {
		inFlight, _ := t.inFlight.Get(target.ID)
		score := hash.Mix(c.request.Chat, hash.Of(string(target.ID)))
		if lowestInFlight < 0 || inFlight < lowestInFlight || (inFlight == lowestInFlight && score > bestScore) {
			best, lowestInFlight, bestScore = target, inFlight, score
		}
	}
	if lowestInFlight < 0 {
		t.finishCall(c, t.noTargetVerdict(c))
		return
	}
	t.dispatchCall(c, best.ID)
}

// localCandidates returns the targets of the call's group that this host may use without a permit.
func (t *transition) localCandidates(c call) []config.Target {
	var out []config.Target
	for _, p := range t.layout.groupsByService[c.service.ID] {
		if p.id != c.group {
			continue
		}
		for _, target := range p.targets {
			inFlight, _ := t.inFlight.Get(target.ID)
			tried := slices.Contains(c.triedTargets, target.ID)
			if t.canSendTo(target.ID) && target.HasModel(c.request.Model) && !tried && inFlight < t.localShare(target) {
				out = append(out, target)
			}
		}
	}
	return out
}

// localShare returns the number of requests that a host may have at a target without permits: its
// share of the target's slots, at least one.
func (t *transition) localShare(target config.Target) int {
	return max(1, target.Slots/t.countServingHosts())
}

// pickPlainTarget sends the call to the worker of a plain service with the lowest plainCost.
func (t *transition) pickPlainTarget(c call) {
	var best config.Target
	found := false
	var bestCost int
	for _, p := range t.layout.groupsByService[c.service.ID] {
		for _, target := range p.targets {
			if !t.canSendTo(target.ID) || slices.Contains(c.triedTargets, target.ID) {
				continue
			}
			if cost := t.plainCost(target); !found || cost < bestCost {
				best, bestCost, found = target, cost, true
			}
		}
	}
	if !found {
		t.finishCall(c, t.noTargetVerdict(c))
		return
	}
	t.dispatchCall(c, best.ID)
}

// plainCost returns the percentage of a worker's slots that this host's requests use, plus
// remoteZonePenalty for a worker of another zone.
func (t *transition) plainCost(target config.Target) int {
	inFlight, _ := t.inFlight.Get(target.ID)
	cost := inFlight * percent / target.Slots
	if target.Zone != t.settings.Zone {
		cost += remoteZonePenalty
	}
	return cost
}

// remoteZonePenalty is a percentage of a worker's slots.
const remoteZonePenalty = 25

// reportPermits reports the permits that this host's calls hold to the group's new owner.
func (t *transition) reportPermits(id routing.GroupID, owner ident.Host) {
	if owner == "" {
		return
	}
	var permits []routing.Permit
	for _, c := range t.calls.All() {
		if c.phase != phaseRunning || c.group != id {
			continue
		}
		c.owner = owner
		t.storeCall(c)
		permits = append(permits, routing.Permit{
			Place: c.permit, Target: c.target, Account: c.account.ID, Key: c.request.Chat, Work: c.request.Work,
			Router: t.settings.ID, Incarnation: t.settings.Incarnation, Until: c.request.Deadline.Add(defaultRetryAfter),
		})
	}
	if len(permits) > 0 {
		t.send(owner, AdoptPermits{Group: id, Permits: permits})
	}
}

// repeatPermitRequests sends the permit requests that were pending at a group's previous owner
// again.
func (t *transition) repeatPermitRequests(id routing.GroupID) {
	for _, c := range t.calls.All() {
		if c.group == id && (c.phase == phaseRequestingPermit || c.phase == phaseQueued) {
			c.owner = ""
			t.requestPermit(c)
		}
	}
}
