// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/table"
)

// A request that finds no place waits in its group: served by rank, then by the account with
// the fewest requests in flight for its weight, then by age. In a full line the account that
// waits with most for its weight gives way, and is refused at once, so that a surge pushes
// out its own requests first.
//
// Inputs: rank, account, weight and age of the requests that wait, requests in flight by
// account, the limits of the class.
const (
	// defaultQueueLimit bounds a class without a limit of its own, in requests. Chosen, not
	// measured.
	defaultQueueLimit = 64
	// rerouteAtOnce bounds the requests sent on in one call of Reroute. Chosen, not measured.
	rerouteAtOnce = 16
)

// queue holds waiting requests by rank, then by account, then by arrival.
type queue struct {
	ranks table.Table[int, rankQueue]
	// index finds a request's rank and account by its request.
	index table.Table[ident.PermitID, PermitRequest]
	seq   uint64
}

type rankQueue struct {
	accounts table.Table[ident.Account, table.Table[uint64, PermitRequest]]
	count    int
}

func (q queue) len() int { return q.index.Len() }

// waitingBefore tells whether a request for the same model waits in this rank or
// a better one.
func (q queue) waitingBefore(req PermitRequest) bool {
	for _, w := range q.index.All() {
		if w.Model == req.Model && w.Rank <= req.Rank {
			return true
		}
	}
	return false
}

func (q queue) with(req PermitRequest, now time.Time) queue {
	q.seq++
	req.seq, req.queuedAt = q.seq, now
	r, _ := q.ranks.Get(req.Rank)
	line, _ := r.accounts.Get(req.Account)
	r.accounts = r.accounts.With(req.Account, line.With(req.seq, req))
	r.count++
	q.ranks = q.ranks.With(req.Rank, r)
	q.index = q.index.With(req.Permit, req)
	return q
}

func (q queue) without(id ident.PermitID) queue {
	req, ok := q.index.Get(id)
	if !ok {
		return q
	}
	q.index = q.index.Without(id)
	r, _ := q.ranks.Get(req.Rank)
	line, _ := r.accounts.Get(req.Account)
	line = line.Without(req.seq)
	r.accounts = r.accounts.With(req.Account, line)
	if line.Len() == 0 {
		r.accounts = r.accounts.Without(req.Account)
	}
	r.count--
	q.ranks = q.ranks.With(req.Rank, r)
	if r.count == 0 {
		q.ranks = q.ranks.Without(req.Rank)
	}
	return q
}

func (q queue) withoutRouter(router ident.Host, keep uint64) queue {
	for id, req := range q.index.All() {
		if req.Router == router && req.Incarnation != keep {
			q = q.without(id)
		}
	}
	return q
}

// next returns the request to serve: of the best rank, that of the account with
// the fewest requests in flight for its weight, oldest first. Models without a
// free place are passed over.
func (q queue) next(inFlight table.Table[ident.Account, int], full []ident.Model) (PermitRequest, bool) {
	for _, r := range q.ranks.All() {
		if req, ok := r.next(inFlight, full); ok {
			return req, true
		}
	}
	return PermitRequest{}, false
}

func (r rankQueue) next(inFlight table.Table[ident.Account, int], full []ident.Model) (PermitRequest, bool) {
	var best PermitRequest
	var bestShare float64
	for account, line := range r.accounts.All() {
		req, ok := firstOf(line, full)
		if !ok {
			continue
		}
		n, _ := inFlight.Get(account)
		share := float64(n+1) / weightOf(req)
		if best.Permit == "" || share < bestShare || (share == bestShare && req.seq < best.seq) {
			best, bestShare = req, share
		}
	}
	return best, best.Permit != ""
}

func firstOf(line table.Table[uint64, PermitRequest], full []ident.Model) (PermitRequest, bool) {
	for _, req := range line.All() {
		if !slices.Contains(full, req.Model) {
			return req, true
		}
	}
	return PermitRequest{}, false
}

func weightOf(a PermitRequest) float64 {
	if a.Weight <= 0 {
		return 1
	}
	return a.Weight
}

func (q queue) expire(now time.Time) (queue, []PermitRequest) {
	var late []PermitRequest
	for _, req := range q.index.All() {
		if !now.Before(req.Deadline) || (req.MaxWait > 0 && now.Sub(req.queuedAt) >= req.MaxWait) {
			late = append(late, req)
		}
	}
	for _, req := range late {
		q = q.without(req.Permit)
	}
	return q, late
}

// longestLine returns the newest request of the account that waits with most requests
// for its weight in the given rank.
func (q queue) longestLine(rank int) (PermitRequest, float64) {
	r, _ := q.ranks.Get(rank)
	var worst PermitRequest
	var most float64
	for _, line := range r.accounts.All() {
		var last PermitRequest
		for _, req := range line.All() {
			last = req
		}
		if share := float64(line.Len()) / weightOf(last); share > most {
			worst, most = last, share
		}
	}
	return worst, most
}

// enqueue adds ask. In a full line the account that waits with most for its
// weight gives way, so a surge pushes out its own requests first.
func (g Group) enqueue(req PermitRequest, now time.Time) (Group, Answer) {
	bound := req.QueueLimit
	bound = cmp.Or(bound, defaultQueueLimit)
	r, _ := g.queue.ranks.Get(req.Rank)
	if r.count < bound {
		g.queue = g.queue.with(req, now)
		return g, Queued{Position: r.count + 1}
	}
	line, _ := r.accounts.Get(req.Account)
	worst, most := g.queue.longestLine(req.Rank)
	if float64(line.Len()+1)/weightOf(req) >= most {
		return g, Refused{Reason: ReasonQueueFull, RetryAfter: retryAfter}
	}
	g.queue = g.queue.without(worst.Permit).with(req, now)
	g.shed = append(g.shed[:len(g.shed):len(g.shed)], worst)
	return g, Queued{Position: r.count}
}

// TakeShed returns the requests that gave way since the last call.
func (g Group) TakeShed() (Group, []PermitRequest) {
	shed := g.shed
	g.shed = nil
	return g, shed
}

// Reroute takes requests out of the queue that a lighter group may serve, and
// returns that group.
func (g Group) Reroute(b LoadBound) (Group, []PermitRequest, GroupID) {
	to, ok := g.lighterGroup(b)
	if g.queue.len() == 0 || !ok {
		return g, nil, GroupID{}
	}
	var moved []PermitRequest
	for _, req := range g.queue.index.All() {
		if !req.Final && len(moved) < rerouteAtOnce {
			moved = append(moved, req)
		}
	}
	for _, req := range moved {
		g.queue = g.queue.without(req.Permit)
		g = g.withLocation(req.Key, ChatLocation{Group: to})
	}
	return g, moved, to
}
