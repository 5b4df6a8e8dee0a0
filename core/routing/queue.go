// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package routing

import (
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

func (q queue) waitingAtOrBefore(rank int) bool {
	first, _, ok := q.ranks.First()
	return ok && first <= rank
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
// the fewest requests in flight for its weight, oldest first.
func (q queue) next(inFlight table.Table[ident.Account, int]) (Ask, bool) {
	_, r, ok := q.ranks.First()
	if !ok {
		return Ask{}, false
	}
	var best Ask
	var bestShare float64
	for account, line := range r.accounts.All() {
		_, ask, _ := line.First()
		n, _ := inFlight.Get(account)
		share := float64(n+1) / weightOf(ask)
		if best.Place == "" || share < bestShare || (share == bestShare && ask.seq < best.seq) {
			best, bestShare = ask, share
		}
	}
	return best, true
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
