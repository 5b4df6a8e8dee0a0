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
	// maxOrders bounds the orders under way, so that the weight store's rate
	// is shared by few loads at a time. Chosen, not measured.
	maxOrders = 4
	// orderSendTime is how long after the decision an order may still leave.
	// Chosen, not measured.
	orderSendTime = 2 * time.Second
	// orderTime bounds an order to an engine. Chosen, not measured.
	orderTime = 5 * time.Minute
	// orderPoll is the time between two looks at the plans. Chosen, not measured.
	orderPoll = 250 * time.Millisecond
)

// tickOrders makes the leader drive the running plans: each step first gets
// its fencing token through the log and only then goes to the engine.
func (t *transition) tickOrders() {
	if !t.raft.LeaseHeld(t.now) || t.now.Before(t.orderAt) {
		return
	}
	t.orderAt = t.now.Add(orderPoll)
	plans := t.catalog.Plans.Values()
	slices.SortStableFunc(plans, repairsFirst)
	for _, p := range plans {
		if p.Status != plan.Running {
			continue
		}
		t.resendOrders(p)
		i, ok := p.Next(t.now, t.orders.Len(), maxOrders)
		if ok && !t.mustWait(p.Steps[i].Target) && !t.storeBusy(p.Steps[i]) {
			t.issueOrder(p.ID, i)
		}
	}
}

// repairsFirst orders plans so that repairs get the weight store first.
func repairsFirst(a, b plan.Plan) int {
	switch {
	case a.Repair == b.Repair:
		return 0
	case a.Repair:
		return -1
	}
	return 1
}

// storeBusy tells whether the weight store still sends what was ordered.
func (t *transition) storeBusy(s plan.Step) bool {
	return s.Action == plan.Load && t.now.Before(t.catalog.LoadFree())
}

// resendOrders takes up steps that an earlier leader ordered.
func (t *transition) resendOrders(p plan.Plan) {
	for i, s := range p.Steps {
		if s.Status == plan.StepOrdered && !t.orders.Has(s.Token) && !t.mustWait(s.Target) {
			t.issueOrder(p.ID, i)
		}
	}
}

// mustWait tells whether a target that checks no tokens may still receive an
// order from an earlier leader.
func (t *transition) mustWait(id ident.Target) bool {
	target, ok := t.config.Targets.Get(id)
	if !ok || target.ChecksFence {
		return false
	}
	return t.now.Sub(t.leaderSince) < orderSendTime+2*raft.DefaultElection
}

func (t *transition) issueOrder(id ident.Plan, step int) {
	write := fmt.Sprintf("auto/order/%s/%d", id, step)
	if t.writes.Has(write) {
		return
	}
	t.submit(catalog.Write{
		ID: write, Actor: string(t.settings.ID), Command: catalog.IssueOrder{Plan: id, Step: step},
	}, t.now.Add(claimTimeout))
}

// autoDone goes on after a write of this process itself.
func (t *transition) autoDone(id string, r catalog.Result, known bool) {
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

func (t *transition) sendOrder(p plan.Plan, i int) {
	s := p.Steps[i]
	target, ok := t.config.Targets.Get(s.Target)
	if !ok {
		return
	}
	o := Order{
		Plan: p.ID, Step: i, Token: s.Token, Action: string(s.Action), Model: s.Model,
		Target: target, Bytes: s.Bytes, NotAfter: t.now.Add(orderSendTime),
	}
	t.orders = t.orders.With(o.Token, o)
	t.counters.OrdersSent++
	t.emit(SendOrder{Order: o, ReadFirst: !target.ChecksFence || s.Attempts > 1})
}

// orderEnded records an order's end in the log, until it is answered.
func (t *transition) orderEnded(ev OrderEnded) {
	t.orders = t.orders.Without(ev.Order.Token)
	t.submit(catalog.Write{
		ID: fmt.Sprintf("auto/end/%d", ev.Order.Token), Actor: string(t.settings.ID),
		Command: catalog.EndOrder{
			Plan: ev.Order.Plan, Step: ev.Order.Step, Token: ev.Order.Token, OK: ev.OK, Error: ev.Error,
		},
	}, t.now.Add(orderTime))
}
