// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/table"
)

// A request that gets no permit is queued in its group. The queue is served by rank, then by the
// account with the fewest requests in flight relative to its weight, then by age. If the queue of
// a rank is full, the newest request of the account with the most queued requests relative to its
// weight is evicted and refused at once, so that a surge evicts its own requests first.
const (
	// defaultQueueLimit is the number of queued requests of a class that has no limit configured.
	defaultQueueLimit = 64
	// maxReroutes bounds the requests redirected in one call of Reroute.
	maxReroutes = 16
)

// queue holds queued requests by rank, then by account, then in order of arrival.
type queue struct {
	ranks table.Table[int, rankQueue]
	// byPermit holds all queued requests by permit id.
	byPermit table.Table[ident.PermitID, PermitRequest]
	seq      uint64
}

type rankQueue struct {
	byAccount table.Table[ident.Account, table.Table[uint64, PermitRequest]]
	count     int
}

func (q queue) len() int { return q.byPermit.Len() }

// hasWaitingAhead reports whether a request for the same model is queued in the same or a better
// rank.
func (q queue) hasWaitingAhead(req PermitRequest) bool {
	for _, w := range q.byPermit.All() {
		if w.Model == req.Model && w.Rank <= req.Rank {
			return true
		}
	}
	return false
}

// with adds a request as the newest of its rank and account.
func (q queue) with(req PermitRequest, now time.Time) queue {
	q.seq++
	req.seq, req.queuedAt = q.seq, now
	r, _ := q.ranks.Get(req.Rank)
	pending, _ := r.byAccount.Get(req.Account)
	r.byAccount = r.byAccount.With(req.Account, pending.With(req.seq, req))
	r.count++
	q.ranks = q.ranks.With(req.Rank, r)
	q.byPermit = q.byPermit.With(req.Permit, req)
	return q
}

// without removes a request. Accounts and ranks without requests are removed too, so that only
// those that wait are visited.
func (q queue) without(id ident.PermitID) queue {
	req, ok := q.byPermit.Get(id)
	if !ok {
		return q
	}
	q.byPermit = q.byPermit.Without(id)
	r, _ := q.ranks.Get(req.Rank)
	pending, _ := r.byAccount.Get(req.Account)
	pending = pending.Without(req.seq)
	r.byAccount = r.byAccount.With(req.Account, pending)
	if pending.Len() == 0 {
		r.byAccount = r.byAccount.Without(req.Account)
	}
	r.count--
	q.ranks = q.ranks.With(req.Rank, r)
	if r.count == 0 {
		q.ranks = q.ranks.Without(req.Rank)
	}
	return q
}

func (q queue) withoutRouter(router ident.Host, currentIncarnation uint64) queue {
	for id, req := range q.byPermit.All() {
		if req.Router == router && req.Incarnation != currentIncarnation {
			q = q.without(id)
		}
	}
	return q
}

// next returns the request to serve: in the best rank, the oldest request of the account with the
// fewest requests in flight relative to its weight. Requests for models in fullModels are
// skipped.
func (q queue) next(inFlight table.Table[ident.Account, int], fullModels []ident.Model) (PermitRequest, bool) {
	for _, r := range q.ranks.All() {
		if req, ok := r.next(inFlight, fullModels); ok {
			return req, true
		}
	}
	return PermitRequest{}, false
}

// next returns the oldest request of the account that would have the smallest share after a grant:
// requests in flight, plus this one, divided by the account's weight. The older request wins a tie.
func (r rankQueue) next(inFlight table.Table[ident.Account, int], fullModels []ident.Model) (PermitRequest, bool) {
	var best PermitRequest
	var bestShare float64
	for account, pending := range r.byAccount.All() {
		req, ok := oldestExcept(pending, fullModels)
		if !ok {
			continue
		}
		n, _ := inFlight.Get(account)
		share := float64(n+1) / weightOrDefault(req)
		if best.Permit == "" || share < bestShare || (share == bestShare && req.seq < best.seq) {
			best, bestShare = req, share
		}
	}
	return best, best.Permit != ""
}

func oldestExcept(pending table.Table[uint64, PermitRequest], models []ident.Model) (PermitRequest, bool) {
	for _, req := range pending.All() {
		if !slices.Contains(models, req.Model) {
			return req, true
		}
	}
	return PermitRequest{}, false
}

func weightOrDefault(req PermitRequest) float64 {
	if req.Weight <= 0 {
		return 1
	}
	return req.Weight
}

// expire removes and returns the requests whose deadline or maximum wait has passed.
func (q queue) expire(now time.Time) (queue, []PermitRequest) {
	var expired []PermitRequest
	for _, req := range q.byPermit.All() {
		if !now.Before(req.Deadline) || (req.MaxWait > 0 && now.Sub(req.queuedAt) >= req.MaxWait) {
			expired = append(expired, req)
		}
	}
	for _, req := range expired {
		q = q.without(req.Permit)
	}
	return q, expired
}

// newestOfBusiestAccount returns the newest request of the account with the most queued requests
// relative to its weight in the given rank, and that ratio.
func (q queue) newestOfBusiestAccount(rank int) (PermitRequest, float64) {
	r, _ := q.ranks.Get(rank)
	var newest PermitRequest
	var highestShare float64
	for _, pending := range r.byAccount.All() {
		var last PermitRequest
		for _, req := range pending.All() {
			last = req
		}
		if share := float64(pending.Len()) / weightOrDefault(last); share > highestShare {
			newest, highestShare = last, share
		}
	}
	return newest, highestShare
}

// enqueue queues a request. If the queue of its rank is full, it evicts a request of the account
// with the most queued requests relative to its weight, or refuses the new one if its own account
// has the most.
func (g Group) enqueue(req PermitRequest, now time.Time) (Group, Answer) {
	limit := req.QueueLimit
	limit = cmp.Or(limit, defaultQueueLimit)
	r, _ := g.queue.ranks.Get(req.Rank)
	if r.count < limit {
		g.queue = g.queue.with(req, now)
		return g, Queued{Position: r.count + 1}
	}
	pending, _ := r.byAccount.Get(req.Account)
	evicted, highestShare := g.queue.newestOfBusiestAccount(req.Rank)
	if float64(pending.Len()+1)/weightOrDefault(req) >= highestShare {
		return g, Refused{Reason: ReasonQueueFull, RetryAfter: retryAfter}
	}
	g.queue = g.queue.without(evicted.Permit).with(req, now)
	g.shed = append(g.shed[:len(g.shed):len(g.shed)], evicted)
	return g, Queued{Position: r.count}
}

// TakeShed returns the requests evicted since the last call.
func (g Group) TakeShed() (Group, []PermitRequest) {
	shed := g.shed
	g.shed = nil
	return g, shed
}

// Reroute removes requests from the queue that a less loaded group may serve, and returns them
// and that group.
func (g Group) Reroute(b LoadBound) (Group, []PermitRequest, GroupID) {
	to, ok := g.leastLoadedGroup(b)
	if g.queue.len() == 0 || !ok {
		return g, nil, GroupID{}
	}
	var rerouted []PermitRequest
	for _, req := range g.queue.byPermit.All() {
		if !req.Final && len(rerouted) < maxReroutes {
			rerouted = append(rerouted, req)
		}
	}
	for _, req := range rerouted {
		g.queue = g.queue.without(req.Permit)
		g = g.withChatLocation(req.Key, ChatLocation{Group: to})
	}
	return g, rerouted, to
}
