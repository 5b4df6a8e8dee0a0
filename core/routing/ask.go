// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package routing

import (
	"math"
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
)

// Ask is a router's request for a place on an engine.
type Ask struct {
	Place       ident.Place
	Router      ident.Host
	Incarnation uint64
	Account     ident.Account
	// Weight is the account's part under contention; 1 where 0.
	Weight float64
	// Rank is that of the priority class; lower goes first.
	Rank int
	// QueueLimit bounds the asks of this rank that wait; MaxWait how long.
	QueueLimit int
	MaxWait    time.Duration
	Model      ident.Model
	// Key identifies the chat; 0 where there is none.
	Key hash.Key
	// Work is the estimate of tokens to prefill and decode.
	Work     int64
	Deadline time.Time
	// Exclude are targets that this request has tried.
	Exclude []ident.Target
	// Final is set where another group has sent the ask on; it is not sent
	// further.
	Final bool

	queuedAt time.Time
	seq      uint64
}

// Answer is what becomes of an Ask. The set is closed.
type Answer interface{ answer() }

type (
	// Granted gives a place.
	Granted struct {
		Target ident.Target
		// Known is true where the chat was remembered on that engine.
		Known bool
	}
	// Queued means that a Grant or Refused follows.
	Queued struct{ Position int }
	// Elsewhere names the group to ask instead.
	Elsewhere struct{ Group GroupID }
	// Refused means that the request gets no place.
	Refused struct {
		Reason RefusalReason
		// RetryAfter is when asking again makes sense.
		RetryAfter time.Duration
	}
)

func (Granted) answer()   {}
func (Queued) answer()    {}
func (Elsewhere) answer() {}
func (Refused) answer()   {}

// RefusalReason says why there is no place.
type RefusalReason string

// Reasons of a refusal.
const (
	ReasonNoTarget  RefusalReason = "no_target"
	ReasonQueueFull RefusalReason = "queue_full"
	ReasonTimeout   RefusalReason = "queue_timeout"
	ReasonShed      RefusalReason = "shed"
	ReasonOverBound RefusalReason = "over_bound"
)

// GroupLoad is what an owner tells others of its group.
type GroupLoad struct {
	Group GroupID
	// Load is the requests in flight on the group's usable engines.
	Load int
	// Usable counts those engines.
	Usable int
	// Waiting counts the asks in its queue.
	Waiting int
}

// Bound is the rule that no engine carries more than a multiple of the mean.
type Bound struct {
	// Multiple is the operators' setting; 0 is no bound.
	Multiple float64
	// Others are the other groups of the service, from their owners' reports.
	Others []GroupLoad
}

// Shares of the room between the mean and the bound.
const (
	// newShare is how far into that room a new chat may go: not beyond the
	// mean, as the room is kept for returning ones.
	newShare = 0.0
	// knownShare is how far a returning chat may go; the rest is kept for the
	// mean falling while long answers run.
	knownShare = 0.8
	// awayShare is how far another group's mean may be into that room for its
	// chats to be sent back to it.
	awayShare = 0.3
	// reserveShare of each engine's slots is kept for rank 0.
	reserveShare = 0.1
	// slowStart is how long an engine that returns takes to its full part.
	slowStart = 10 * time.Second
	// minSlowStart is its part at the beginning.
	minSlowStart = 0.2
	retryAfter   = time.Second
)

// mean is the load of an engine if the service's load were spread evenly, the
// asked request included.
func (g Group) mean(b Bound) float64 {
	load, engines := g.total+1, g.Usable()
	for _, o := range b.Others {
		load += o.Load
		engines += o.Usable
	}
	if engines == 0 {
		return 0
	}
	return float64(load) / float64(engines)
}

// limit is the load that an engine may have after a placement that uses
// share of the room between mean and bound; at least the mean itself, rounded
// up, so that there always is a place. Where engines are nearly idle, one
// request more or less is no skew, and known chats may use the bound rounded up.
func limit(b Bound, mean, share float64) int {
	if b.Multiple == 0 {
		return math.MaxInt
	}
	most := int(mean * (1 + (b.Multiple-1)*share))
	if share > 0 && mean < idleMean {
		most = int(math.Ceil(mean * b.Multiple))
	}
	return max(1, int(math.Ceil(mean)), most)
}

// idleMean is the mean load below which whole requests are coarse.
const idleMean = 8

// Ask places a request, queues it, sends it elsewhere or refuses it.
func (g Group) Ask(ask Ask, b Bound, now time.Time) (Group, Answer) {
	if answer, ok := g.answered(ask.Place); ok {
		return g, answer
	}
	if ask.Rank > 0 && g.queue.waitingBefore(ask) {
		// Nobody overtakes those that wait in the same or a better class.
		return g.unplaced(ask, b, now)
	}
	if p, ok := g.directory.Get(ask.Key); ok && p.Group != (GroupID{}) && !ask.Final && g.worthGoing(b, p.Group) {
		return g, Elsewhere{Group: p.Group}
	}
	i, known := g.choose(ask, b, now)
	if i >= 0 {
		var grant Grant
		g, grant = g.grant(ask, i, known, now)
		return g, grant.Answer()
	}
	return g.unplaced(ask, b, now)
}

// answered repeats the answer to an ask that comes again, doubled or because
// its answer was lost.
func (g Group) answered(place ident.Place) (Answer, bool) {
	if p, ok := g.permits.Get(place); ok {
		return Granted{Target: p.Target, Known: true}, true
	}
	if g.queue.index.Has(place) {
		return Queued{}, true
	}
	return nil, false
}

// worthGoing tells whether a chat that was sent to another group may go there
// again: not where that one is the fuller by now.
func (g Group) worthGoing(b Bound, id GroupID) bool {
	most := g.mean(b) * (1 + (b.Multiple-1)*awayShare)
	return slices.ContainsFunc(b.Others, func(l GroupLoad) bool {
		return l.Group == id && l.Usable > 0 && (b.Multiple == 0 || float64(l.Load) <= most*float64(l.Usable))
	})
}

// unplaced finds what to do with an ask that no engine here may take.
func (g Group) unplaced(ask Ask, b Bound, now time.Time) (Group, Answer) {
	if !ask.Final {
		if to, ok := g.lighter(b); ok {
			return g.withPlace(ask.Key, Place{Group: to}), Elsewhere{Group: to}
		}
	}
	if !g.anyServes(ask) {
		return g, Refused{Reason: ReasonNoTarget, RetryAfter: retryAfter}
	}
	return g.enqueue(ask, now)
}

func (g Group) anyServes(ask Ask) bool {
	return slices.ContainsFunc(g.engines, func(e Engine) bool { return g.eligible(e, ask) })
}

// lighter returns the other group with the lowest mean, if it is below ours.
func (g Group) lighter(b Bound) (GroupID, bool) {
	best, found := GroupLoad{}, false
	for _, o := range b.Others {
		if o.Usable == 0 || o.Waiting > 0 {
			continue
		}
		if !found || o.Load*best.Usable < best.Load*o.Usable {
			best, found = o, true
		}
	}
	if !found || best.Load*g.Usable() >= g.total*best.Usable && g.Usable() > 0 {
		return GroupID{}, false
	}
	return best.Group, true
}

func (g Group) eligible(e Engine, ask Ask) bool {
	return e.Usable && e.serves(ask.Model) && !slices.Contains(ask.Exclude, e.ID)
}

// choose returns the engine for ask, or -1, and whether the chat is known
// there. A returning chat stays where it was unless that breaks the bound;
// others go to the first engine of their rendezvous order that has room, else to
// the least loaded.
func (g Group) choose(ask Ask, b Bound, now time.Time) (int, bool) {
	mean := g.mean(b)
	if p, ok := g.directory.Get(ask.Key); ok && p.Target != "" {
		i := g.index(p.Target)
		if i >= 0 && g.eligible(g.engines[i], ask) && fits(g.engines[i], ask, limit(b, mean, knownShare)) {
			return i, true
		}
	}
	if ask.Final {
		// Sent here by a group that is fuller: what others reported may be a
		// second old, so the group's own mean counts where it is higher.
		mean = max(mean, g.mean(Bound{}))
	}
	if i := g.first(ask, limit(b, mean, newShare), now); i >= 0 {
		return i, false
	}
	return g.leastLoaded(ask, limit(b, mean, newShare), now), false
}

// first returns the first engine of the chat's rendezvous order that is not
// above its part of most. A chat whose place was forgotten with an owner that
// died thus finds its engine again.
func (g Group) first(ask Ask, most int, now time.Time) int {
	if ask.Key == 0 {
		return -1
	}
	best := -1
	var top uint64
	for i, e := range g.engines {
		if !g.eligible(e, ask) || !fits(e, ask, int(float64(most)*warmth(e, now))) {
			continue
		}
		if score := hash.Mix(ask.Key, e.key); best < 0 || score > top {
			best, top = i, score
		}
	}
	return best
}

func (g Group) leastLoaded(ask Ask, most int, now time.Time) int {
	best := -1
	var bestLoad float64
	var bestScore uint64
	for i, e := range g.engines {
		if !g.eligible(e, ask) || !fits(e, ask, most) {
			continue
		}
		load := float64(e.Load()) / warmth(e, now)
		score := hash.Mix(ask.Key, e.key)
		if best < 0 || load < bestLoad || (load == bestLoad && score > bestScore) {
			best, bestLoad, bestScore = i, load, score
		}
	}
	return best
}

// fits tells whether e may take one more.
func fits(e Engine, ask Ask, most int) bool {
	slots := e.Slots
	if ask.Rank > 0 {
		slots -= int(reserveShare * float64(e.Slots))
	}
	return e.Load()+1 <= min(most, slots)
}

// warmth rises from minSlowStart to 1 while an engine that came back warms.
func warmth(e Engine, now time.Time) float64 {
	up := now.Sub(e.Since)
	if e.Since.IsZero() || up >= slowStart {
		return 1
	}
	return minSlowStart + (1-minSlowStart)*float64(up)/float64(slowStart)
}
