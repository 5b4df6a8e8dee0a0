// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"expvar"
	"net/http"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/rollouts"
	"github.com/yardhall/yardhall/gateway"
	"github.com/yardhall/yardhall/operators"
	"github.com/yardhall/yardhall/settings"
)

// logOrderRejected is the line on an order of a rollout that was answered with 400.
const logOrderRejected = "rollout order rejected"

// rolloutLimits are the bounds of rollouts; the zero value where rollouts are disabled.
func rolloutLimits(g settings.Gateway) rollouts.Limits {
	share := settings.Number(g.RolloutShare)
	if share <= 0 {
		return rollouts.Limits{}
	}
	return rollouts.Limits{Share: share, Slack: settings.Number(g.RolloutSlack), Revert: g.RolloutRevert}
}

// RolloutsEnabled implements platform.Core.
func (l *loop) RolloutsEnabled() bool { return l.state.Load().RolloutsEnabled() }

// Rollouts implements platform.Core and operators.RolloutCore.
func (l *loop) Rollouts() rollouts.State { return l.state.Load().Rollouts() }

// IsReplica implements operators.RolloutCore.
func (l *loop) IsReplica() bool { return l.state.Load().Raft().Active() }

// RolloutOrderRejected implements platform.Core and operators.RolloutCore.
func (l *loop) RolloutOrderRejected(service ident.Service, reason string) {
	l.rejectedOrders.Add(1)
	l.notes.observeRejectedOrder(service, reason)
}

// rolloutCore returns what the operators' port needs for rollouts; nil where they are disabled.
func (l *loop) rolloutCore() operators.RolloutCore {
	if !l.RolloutsEnabled() {
		return nil
	}
	return l
}

// rolloutCounters counts this host's part in rollouts. The zero value is ready to use.
type rolloutCounters struct {
	// exposed counts requests drawn for a version being rolled out, failed the attempts at such a
	// version that ended with a server error or broke off.
	exposed, failed expvar.Int
}

// observe counts an ended request.
func (c *rolloutCounters) observe(o gateway.Observation) {
	for i, try := range o.Attempts {
		if !try.Dispatch.Inputs.Rollout {
			continue
		}
		if i == 0 {
			c.exposed.Add(1)
		}
		switch r := try.Result.(type) {
		case outcome.Answered:
			if r.Status >= http.StatusInternalServerError {
				c.failed.Add(1)
			}
		case outcome.Interrupted:
			c.failed.Add(1)
		}
	}
}

// publishRollouts publishes the counters of rollouts where these are enabled.
func (m *metrics) publishRollouts(d *Daemon) {
	if !d.loop.RolloutsEnabled() {
		return
	}
	m.vars.Set("rollout_requests_exposed", &m.rollouts.exposed)
	m.vars.Set("rollout_attempts_failed", &m.rollouts.failed)
	m.vars.Set("rollout_orders_rejected", &d.loop.rejectedOrders)
}
