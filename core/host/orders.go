// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/plan"
	"github.com/yardhall/yardhall/core/raft"
)

const (
	// maxConcurrentOrders bounds the orders in progress, so that few loads at a time share the
	// weight store's bandwidth.
	maxConcurrentOrders = 4
	// orderSendTimeout is how long after its decision an order may be sent.
	orderSendTimeout = 2 * time.Second
	// orderEndTimeout bounds the write that records the end of an order.
	orderEndTimeout = 5 * time.Minute
	// planInterval is the time between two checks of the running plans.
	planInterval = 250 * time.Millisecond
)

// tickOrders makes the leader execute the running plans. Each step gets its fencing token through
// the log before its order is sent to the engine.
func (t *transition) tickOrders() {
	if !t.raft.LeaseHeld(t.now) || t.now.Before(t.nextOrderAt) {
		return
	}
	t.nextOrderAt = t.now.Add(planInterval)
	plans := t.catalog.Plans.Values()
	slices.SortStableFunc(plans, repairsFirst)
	for _, p := range plans {
		if p.Status != plan.Running {
			continue
		}
		t.resendOrders(p)
		i, ok := p.Next(t.now, t.orders.Len(), maxConcurrentOrders)
		if ok && !t.mustAwaitEarlierOrders(p.Steps[i].Target) && !t.weightStoreBusy(p.Steps[i]) {
			t.issueOrder(p.ID, i)
		}
	}
}

// repairsFirst sorts repair plans first, so that they get the weight store's bandwidth.
func repairsFirst(a, b plan.Plan) int {
	switch {
	case a.Repair == b.Repair:
		return 0
	case a.Repair:
		return -1
	}
	return 1
}

// weightStoreBusy reports whether a load must wait because the weight store is still sending the
// weights of earlier loads.
func (t *transition) weightStoreBusy(s plan.Step) bool {
	return s.Action == plan.Load && t.now.Before(t.catalog.LoadFree())
}

// resendOrders issues new orders for the steps that an earlier leader ordered.
func (t *transition) resendOrders(p plan.Plan) {
	for i, s := range p.Steps {
		if s.Status == plan.StepOrdered && !t.orders.Has(s.Token) && !t.mustAwaitEarlierOrders(s.Target) {
			t.issueOrder(p.ID, i)
		}
	}
}

// mustAwaitEarlierOrders reports whether a target that does not check fencing tokens may still
// receive an order from an earlier leader.
func (t *transition) mustAwaitEarlierOrders(id ident.Target) bool {
	target, ok := t.config.Targets.Get(id)
	if !ok || target.ChecksFence {
		return false
	}
	return t.now.Sub(t.leaderSince) < orderSendTimeout+2*raft.DefaultElection
}

// issueOrder commits the step's next fencing token, unless that write is already pending. The order
// is sent once the token is committed.
func (t *transition) issueOrder(id ident.Plan, step int) {
	writeID := fmt.Sprintf("auto/order/%s/%d", id, step)
	if t.writes.Has(writeID) {
		return
	}
	t.submit(catalog.Write{
		ID: writeID, Actor: string(t.settings.ID), Command: catalog.IssueOrder{Plan: id, Step: step},
	}, t.now.Add(claimTimeout))
}

// handleOwnWriteResult continues after a write that this process submitted itself: it sends the
// order whose token was committed.
func (t *transition) handleOwnWriteResult(id string, r catalog.Result, known bool) {
	if !known || r.Code != catalog.OK || r.Token == 0 || !strings.HasPrefix(id, "auto/order/") {
		return
	}
	p, ok := t.catalog.Plans.Get(r.Plan)
	if !ok || !t.raft.LeaseHeld(t.now) {
		return
	}
	for i, s := range p.Steps {
		if s.Token == r.Token && s.Status == plan.StepOrdered {
			t.sendOrder(p, i)
		}
	}
}

// sendOrder sends a step's order with its committed token. The engine's state is read first if the
// engine does not check tokens or an earlier attempt may have taken effect.
func (t *transition) sendOrder(p plan.Plan, i int) {
	s := p.Steps[i]
	target, ok := t.config.Targets.Get(s.Target)
	if !ok {
		return
	}
	o := Order{
		Plan: p.ID, Step: i, Token: s.Token, Action: string(s.Action), Model: s.Model,
		Target: target, Bytes: s.Bytes, NotAfter: t.now.Add(orderSendTimeout),
	}
	t.orders = t.orders.With(o.Token, o)
	t.counters.OrdersSent++
	t.emit(SendOrder{Order: o, ReadFirst: !target.ChecksFence || s.Attempts > 1})
}

// handleOrderEnded records the result of an order in the log.
func (t *transition) handleOrderEnded(ev OrderEnded) {
	t.orders = t.orders.Without(ev.Order.Token)
	t.submit(catalog.Write{
		ID: fmt.Sprintf("auto/end/%d", ev.Order.Token), Actor: string(t.settings.ID),
		Command: catalog.EndOrder{
			Plan: ev.Order.Plan, Step: ev.Order.Step, Token: ev.Order.Token, OK: ev.OK, Error: ev.Error,
		},
	}, t.now.Add(orderEndTimeout))
}
