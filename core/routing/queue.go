// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package routing

import (
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/table"
)

// queue holds waiting asks by rank, then by account, then by arrival.
type queue struct {
	ranks table.Table[int, rankQueue]
	// index finds an ask's rank and account by its request.
	index table.Table[ident.Place, Ask]
	seq   uint64
}

type rankQueue struct {
	accounts table.Table[ident.Account, table.Table[uint64, Ask]]
	count    int
}

func (q queue) len() int { return q.index.Len() }

// waitingBefore tells whether an ask for the same model waits in this rank or
// a better one.
func (q queue) waitingBefore(ask Ask) bool {
	for _, w := range q.index.All() {
		if w.Model == ask.Model && w.Rank <= ask.Rank {
			return true
		}
	}
	return false
}

func (q queue) with(ask Ask, now time.Time) queue {
	q.seq++
	ask.seq, ask.queuedAt = q.seq, now
	r, _ := q.ranks.Get(ask.Rank)
	line, _ := r.accounts.Get(ask.Account)
	r.accounts = r.accounts.With(ask.Account, line.With(ask.seq, ask))
	r.count++
	q.ranks = q.ranks.With(ask.Rank, r)
	q.index = q.index.With(ask.Place, ask)
	return q
}

func (q queue) without(id ident.Place) queue {
	ask, ok := q.index.Get(id)
	if !ok {
		return q
	}
	q.index = q.index.Without(id)
	r, _ := q.ranks.Get(ask.Rank)
	line, _ := r.accounts.Get(ask.Account)
	line = line.Without(ask.seq)
	r.accounts = r.accounts.With(ask.Account, line)
	if line.Len() == 0 {
		r.accounts = r.accounts.Without(ask.Account)
	}
	r.count--
	q.ranks = q.ranks.With(ask.Rank, r)
	if r.count == 0 {
		q.ranks = q.ranks.Without(ask.Rank)
	}
	return q
}

func (q queue) withoutRouter(router ident.Host, keep uint64) queue {
	for id, ask := range q.index.All() {
		if ask.Router == router && ask.Incarnation != keep {
			q = q.without(id)
		}
	}
	return q
}

// next returns the ask to serve: of the best rank, that of the account with
// the fewest requests in flight for its weight, oldest first. Models without a
// free place are passed over.
func (q queue) next(inFlight table.Table[ident.Account, int], full []ident.Model) (Ask, bool) {
	for _, r := range q.ranks.All() {
		if ask, ok := r.next(inFlight, full); ok {
			return ask, true
		}
	}
	return Ask{}, false
}

func (r rankQueue) next(inFlight table.Table[ident.Account, int], full []ident.Model) (Ask, bool) {
	var best Ask
	var bestShare float64
	for account, line := range r.accounts.All() {
		ask, ok := firstOf(line, full)
		if !ok {
			continue
		}
		n, _ := inFlight.Get(account)
		share := float64(n+1) / weightOf(ask)
		if best.Place == "" || share < bestShare || (share == bestShare && ask.seq < best.seq) {
			best, bestShare = ask, share
		}
	}
	return best, best.Place != ""
}

func firstOf(line table.Table[uint64, Ask], full []ident.Model) (Ask, bool) {
	for _, ask := range line.All() {
		if !slices.Contains(full, ask.Model) {
			return ask, true
		}
	}
	return Ask{}, false
}

func weightOf(a Ask) float64 {
	if a.Weight <= 0 {
		return 1
	}
	return a.Weight
}

func (q queue) expire(now time.Time) (queue, []Ask) {
	var late []Ask
	for _, ask := range q.index.All() {
		if !now.Before(ask.Deadline) || (ask.MaxWait > 0 && now.Sub(ask.queuedAt) >= ask.MaxWait) {
			late = append(late, ask)
		}
	}
	for _, ask := range late {
		q = q.without(ask.Place)
	}
	return q, late
}

// longestLine returns the newest ask of the account that waits with most asks
// for its weight in the given rank.
func (q queue) longestLine(rank int) (Ask, float64) {
	r, _ := q.ranks.Get(rank)
	var worst Ask
	var most float64
	for _, line := range r.accounts.All() {
		var last Ask
		for _, ask := range line.All() {
			last = ask
		}
		if share := float64(line.Len()) / weightOf(last); share > most {
			worst, most = last, share
		}
	}
	return worst, most
}

// defaultQueueLimit bounds a class without a limit of its own.
const defaultQueueLimit = 64

// enqueue adds ask. In a full line the account that waits with most for its
// weight gives way, so a surge pushes out its own asks first.
func (g Group) enqueue(ask Ask, now time.Time) (Group, Answer) {
	bound := ask.QueueLimit
	if bound == 0 {
		bound = defaultQueueLimit
	}
	r, _ := g.queue.ranks.Get(ask.Rank)
	if r.count < bound {
		g.queue = g.queue.with(ask, now)
		return g, Queued{Position: r.count + 1}
	}
	line, _ := r.accounts.Get(ask.Account)
	worst, most := g.queue.longestLine(ask.Rank)
	if float64(line.Len()+1)/weightOf(ask) >= most {
		return g, Refused{Reason: ReasonQueueFull, RetryAfter: retryAfter}
	}
	g.queue = g.queue.without(worst.Place).with(ask, now)
	g.shed = append(g.shed[:len(g.shed):len(g.shed)], worst)
	return g, Queued{Position: r.count}
}

// TakeShed returns the asks that gave way since the last call.
func (g Group) TakeShed() (Group, []Ask) {
	shed := g.shed
	g.shed = nil
	return g, shed
}

// rerouteAtOnce bounds the asks sent on in one call of Reroute.
const rerouteAtOnce = 16

// Reroute takes asks out of the queue that a lighter group may serve, and
// returns that group.
func (g Group) Reroute(b Bound) (Group, []Ask, GroupID) {
	to, ok := g.lighter(b)
	if g.queue.len() == 0 || !ok {
		return g, nil, GroupID{}
	}
	var moved []Ask
	for _, ask := range g.queue.index.All() {
		if !ask.Final && len(moved) < rerouteAtOnce {
			moved = append(moved, ask)
		}
	}
	for _, ask := range moved {
		g.queue = g.queue.without(ask.Place)
		g = g.withPlace(ask.Key, Place{Group: to})
	}
	return g, moved, to
}
