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

// requestPermit finds a place for the call.
func (t *transition) requestPermit(c call) {
	if c.service.Kind == config.KindPlain {
		t.pickPlain(c)
		return
	}
	id, ok := t.groupFor(c)
	if !ok {
		t.finish(c, t.noTarget(c))
		return
	}
	t.requestPermitOf(c, id, false)
}

func (t *transition) noTarget(c call) Verdict {
	return Verdict{
		Outcome: c.combined, Code: CodeNoTarget, RetryAfter: cmp.Or(t.leastBackoff(c), retryAfter),
		Reason: "no target can take the request now",
	}
}

// groupFor picks the chat's group by rendezvous, weighted by the engines that
// hold the model; groups that nobody can own are passed over.
func (t *transition) groupFor(c call) (routing.GroupID, bool) {
	best, second := routing.GroupID{}, routing.GroupID{}
	var top, next float64
	key := c.req.Chat
	if key == 0 {
		key = hash.Of(string(c.req.ID))
	}
	for _, p := range t.layout.groupsByService[c.service.ID] {
		n := p.modelHolders[c.req.Model]
		if n == 0 || t.layout.owners[p.id] == "" || t.emptyGroup(p.id) {
			continue
		}
		score := hash.Weighted(key, p.key, float64(n))
		if slices.Contains(c.avoid, p.id) {
			if score > next {
				second, next = p.id, score
			}
			continue
		}
		if score > top {
			best, top = p.id, score
		}
	}
	if top == 0 {
		// Better a group that failed once than none.
		return second, next > 0
	}
	return best, true
}

// emptyGroup tells whether the owner last reported that no engine is usable.
func (t *transition) emptyGroup(id routing.GroupID) bool {
	owner := t.layout.owners[id]
	if owner == t.settings.ID {
		g, ok := t.groups.Get(id.String())
		return ok && g.UsableTargets() == 0
	}
	for _, l := range t.loads[id.Service] {
		if l.Group == id {
			return l.Usable == 0
		}
	}
	return false
}

func (t *transition) requestPermitOf(c call, id routing.GroupID, final bool) {
	c.phase = phaseAsking
	c.group = id
	c.owner = t.layout.owners[id]
	c.target = ""
	c.permitRequests++
	c.permit = ident.PermitIDOf(c.req.ID, c.permitRequests)
	c.final = final || c.hops >= maxHops
	c.wake = earlier(c.req.Deadline, t.now.Add(permitTimeout))
	t.keepCall(c)
	t.sendPermitRequest(c)
}

// sendPermitRequest sends the call's newest request, perhaps again: its owner repeats the
// answer to one that it has already.
func (t *transition) sendPermitRequest(c call) {
	t.send(c.owner, RequestPermit{
		Group: c.group, Place: c.permit, Account: c.account.ID, Class: c.class.ID, Model: c.req.Model,
		Chat: c.req.Chat, Work: c.req.Work, Within: c.req.Deadline.Sub(t.now),
		Exclude: t.excluded(c), Final: c.final,
	})
}

// permitReplied goes on with a call whose group has answered. An answer that
// nobody waits for any more frees its place.
func (t *transition) permitReplied(from ident.Host, m PermitReply) {
	c, ok := t.calls.Get(m.Place.Request())
	waiting := ok && c.permit == m.Place && (c.phase == phaseAsking || c.phase == phaseQueued)
	switch a := m.Answer.(type) {
	case routing.Granted:
		if !waiting {
			t.releaseUnwanted(from, m, c, ok)
			return
		}
		if !t.canUse(a.Target) {
			t.send(from, ReleasePermit{Place: m.Place})
			t.requestPermit(c)
			return
		}
		t.dispatch(c, a.Target)
	case routing.Queued:
		if waiting {
			c.phase, c.wake = phaseQueued, earlier(c.req.Deadline, t.now.Add(queuedPoll))
			t.keepCall(c)
		}
	case routing.Elsewhere:
		if waiting {
			c.hops++
			t.requestPermitOf(c, a.Group, true)
		}
	case routing.Refused:
		if waiting {
			c.owner = ""
			t.finish(c, refusedVerdict(c, a))
		}
	}
}

// releaseUnwanted gives back a place that came too late, unless the call already
// runs on it (a doubled answer).
func (t *transition) releaseUnwanted(from ident.Host, m PermitReply, c call, ok bool) {
	if ok && c.phase == phaseRunning && c.permit == m.Place && c.owner != "" {
		return
	}
	t.send(from, ReleasePermit{Place: m.Place})
}

func refusedVerdict(c call, a routing.Refused) Verdict {
	v := Verdict{Outcome: c.combined, Code: CodeOverloaded, RetryAfter: a.RetryAfter}
	switch a.Reason {
	case routing.ReasonNoTarget:
		v.Code, v.Reason = CodeNoTarget, "no target can take the request now"
	case routing.ReasonTimeout:
		v.Reason = "no engine became free in time"
	case routing.ReasonShed, routing.ReasonQueueFull, routing.ReasonOverBound:
		v.Reason = "too many requests wait for the engines"
	}
	return v
}

func (t *transition) notOwner(m NotOwner) {
	c, ok := t.calls.Get(m.Place.Request())
	if ok && (c.phase == phaseAsking || c.phase == phaseQueued) && c.permit == m.Place {
		t.pickLocally(c)
	}
}

// pickLocally chooses by this host's own view, as the owner does not answer:
// the least loaded by own requests, no engine beyond this host's part of its
// slots. Ties go by rendezvous: hosts that pick at once pick different engines,
// and a chat the same one again.
func (t *transition) pickLocally(c call) {
	t.counters.Fallbacks++
	c.owner = ""
	var best config.Target
	lowest, top := -1, uint64(0)
	for _, target := range t.localCandidates(c) {
		n, _ := t.inFlight.Get(target.ID)
		score := hash.Mix(c.req.Chat, hash.Of(string(target.ID)))
		if lowest < 0 || n < lowest || (n == lowest && score > top) {
			best, lowest, top = target, n, score
		}
	}
	if lowest < 0 {
		t.finish(c, t.noTarget(c))
		return
	}
	t.dispatch(c, best.ID)
}

// localCandidates are the targets of the call's group that this host may use
// without a permit of the owner.
func (t *transition) localCandidates(c call) []config.Target {
	var out []config.Target
	for _, p := range t.layout.groupsByService[c.service.ID] {
		if p.id != c.group {
			continue
		}
		for _, target := range p.targets {
			n, _ := t.inFlight.Get(target.ID)
			tried := slices.Contains(c.tried, target.ID)
			if t.canUse(target.ID) && target.HasModel(c.req.Model) && !tried && n < t.localShare(target) {
				out = append(out, target)
			}
		}
	}
	return out
}

// localShare is what one host may send to a target without a permit of its owner.
func (t *transition) localShare(target config.Target) int {
	return max(1, target.Slots/t.countServingHosts())
}

// pickPlain chooses a worker of a plain service: the one with the fewest of
// this host's requests, workers of the own zone first.
func (t *transition) pickPlain(c call) {
	var best config.Target
	found := false
	var bestCost int
	for _, p := range t.layout.groupsByService[c.service.ID] {
		for _, target := range p.targets {
			if !t.canUse(target.ID) || slices.Contains(c.tried, target.ID) {
				continue
			}
			if cost := t.plainCost(target); !found || cost < bestCost {
				best, bestCost, found = target, cost, true
			}
		}
	}
	if !found {
		t.finish(c, t.noTarget(c))
		return
	}
	t.dispatch(c, best.ID)
}

// plainCost orders workers by the share of their slots in use from here; a
// worker of another zone counts as farPenalty fuller.
func (t *transition) plainCost(target config.Target) int {
	n, _ := t.inFlight.Get(target.ID)
	cost := n * percent / target.Slots
	if target.Zone != t.settings.Zone {
		cost += remotePenalty
	}
	return cost
}

// remotePenalty is in percent of a worker's slots. Chosen, not measured.
const remotePenalty = 25

// reportPermits reports to a group's new owner which permits this host's calls hold.
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
		t.keepCall(c)
		permits = append(permits, routing.Permit{
			Place: c.permit, Target: c.target, Account: c.account.ID, Key: c.req.Chat, Work: c.req.Work,
			Router: t.settings.ID, Incarnation: t.settings.Incarnation, Until: c.req.Deadline.Add(retryAfter),
		})
	}
	if len(permits) > 0 {
		t.send(owner, AdoptPermits{Group: id, Permits: permits})
	}
}

// requestPermitsAnew sends the requests that wait at a group's old owner to the new one.
func (t *transition) requestPermitsAnew(id routing.GroupID) {
	for _, c := range t.calls.All() {
		if c.group == id && (c.phase == phaseAsking || c.phase == phaseQueued) {
			c.owner = ""
			t.requestPermit(c)
		}
	}
}
