// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package catalog is the replicated state machine: the configuration, plans
// and their orders, claims of requests that must not run twice, remembered
// writes and the audit trail.
//
// # Usage
//
// Replicas feed it the committed log in order:
//
//	next, result := c.Apply(write)
//
// Apply is pure and deterministic; equal logs give equal catalogs. Document
// and FromDocument carry it through snapshots.
package catalog

import (
	"fmt"
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/plan"
	"github.com/yardhall/yardhall/core/rollouts"
	"github.com/yardhall/yardhall/core/table"
	"github.com/yardhall/yardhall/core/zones"
)

// Bounds of what is remembered.
const (
	maxWrites = 4096
	maxAudit  = 4096
	// MaxDeltas is how many changes a follower may lag behind and still be sent deltas instead of the
	// whole document.
	MaxDeltas = 1024
)

// Delta is the change that led to Version.
type Delta struct {
	Version config.Version
	Change  config.Change
}

// Audit is one line of the audit trail.
type Audit struct {
	Seq    uint64
	At     time.Time
	Actor  string
	Action string
	Object string
	Detail string
}

// Catalog is the replicated state. It is immutable.
type Catalog struct {
	// Time is the newest leader time seen; it never runs backwards.
	Time   time.Time
	Config config.Config
	Plans  table.Table[ident.Plan, plan.Plan]
	// Zones are the drained zones.
	Zones zones.Drained
	// Rollouts are the versions that serve each service, and its newest rollout.
	Rollouts rollouts.State

	deltas   table.Table[uint64, Delta]
	trail    table.Table[uint64, Audit]
	auditSeq uint64
	planSeq  uint64
	fence    uint64
	// loadFree is when the weight store has sent all that was ordered.
	loadFree   time.Time
	claims     table.Table[string, Claim]
	claimOrder table.Table[uint64, ClaimKey]
	claimSeq   uint64
	writes     table.Table[string, remembered]
	writeOrder table.Table[uint64, string]
	writeSeq   uint64
}

// remembered is the answer to a write that may be resent.
type remembered struct {
	Result Result
	Seq    uint64
}

// Apply returns the catalog after w and what became of w.
func (c Catalog) Apply(w Write) (Catalog, Result) {
	if w.At.After(c.Time) {
		c.Time = w.At
	}
	c = c.forgetClaims()
	if first, ok := c.writes.Get(w.ID); ok && w.Remember {
		return c, first.Result
	}
	next, result := c.run(w)
	if w.Remember && result.Code != BaseMoved {
		next = next.remember(w.ID, result)
	}
	return next, result
}

func (c Catalog) run(w Write) (Catalog, Result) {
	switch cmd := w.Command.(type) {
	case Edit:
		return c.edit(w.Actor, cmd)
	case StateIntent:
		return c.stateIntent(w.Actor, cmd)
	case Decide:
		return c.decide(w.Actor, cmd)
	case IssueOrder:
		return c.issueOrder(cmd)
	case EndOrder:
		return c.endOrder(w.Actor, cmd)
	case ClaimRun:
		return c.claimRun(cmd)
	case EndClaim:
		return c.endClaim(cmd)
	case ChangeZone:
		return c.changeZone(w.Actor, cmd)
	case OrderRollout:
		return c.orderRollout(w.Actor, cmd)
	case AdvanceRollout:
		return c.advanceRollout(w.Actor, cmd)
	case AdoptVersion:
		return c.adoptVersion(cmd)
	case RevertRollout:
		return c.revertRollout(w.Actor, cmd)
	}
	panic("catalog: command outside the closed set")
}

func (c Catalog) edit(actor string, cmd Edit) (Catalog, Result) {
	if cmd.Guarded {
		if have := c.Config.RevOf(cmd.Change); have != cmd.Rev {
			return c, Result{
				Code: Conflict, Version: have,
				Reason: fmt.Sprintf("the object is at revision %d, not %d", have, cmd.Rev),
			}
		}
	}
	if patch, ok := cmd.Change.(config.PatchRouteTable); ok && patch.Patch.Delta.From != c.Config.Gateway.Number {
		return c, Result{Code: BaseMoved, Reason: "another route table came into force meanwhile", Version: c.Config.Version}
	}
	cfg, err := c.Config.With(cmd.Change)
	if err != nil {
		return c, Result{Code: Invalid, Reason: err.Error(), Version: c.Config.Version}
	}
	if whole(cmd.Change) && cfg.Gateway.Number <= c.Config.Gateway.Number {
		// The highest number prevails: an older document is taken note of and
		// changes nothing.
		return c, Result{Code: OK, Version: c.Config.Version}
	}
	c = c.withConfig(cfg, cmd.Change)
	subject := config.SubjectOf(cmd.Change)
	c = c.audit(actor, subject.Action, subject.Object(), "")
	return c, Result{Code: OK, Version: cfg.Version}
}

// changeZone drains or restores a zone.
func (c Catalog) changeZone(actor string, cmd ChangeZone) (Catalog, Result) {
	if err := cmd.Validate(); err != nil {
		return c, Result{Code: Invalid, Reason: err.Error(), Zones: c.Zones.Revision}
	}
	next, outcome := c.Zones.Apply(cmd.Change)
	switch outcome {
	case zones.Superseded:
		return c, Result{Code: Overtaken, Reason: "another order for the zone came first", Zones: c.Zones.Revision}
	case zones.TooMany:
		return c, Result{Code: Invalid, Reason: "orders for too many zones are remembered", Zones: c.Zones.Revision}
	case zones.Done:
	}
	if next.Revision != c.Zones.Revision {
		c.Zones = next
		c = c.audit(actor, zoneAction(cmd.Drained), "zone/"+string(cmd.Zone), "")
	}
	return c, Result{Code: OK, Version: c.Config.Version, Zones: c.Zones.Revision}
}

// zoneAction names an order in the audit trail.
func zoneAction(drained bool) string {
	if drained {
		return "DrainZone"
	}
	return "TakeBackZone"
}

// whole reports whether a change replaces the whole route table.
func whole(ch config.Change) bool {
	switch ch.(type) {
	case config.PutRouteTable, config.PatchRouteTable:
		return true
	}
	return false
}

// withConfig replaces the configuration and keeps the change for followers.
func (c Catalog) withConfig(cfg config.Config, ch config.Change) Catalog {
	c.Config = cfg
	if whole(ch) {
		// A route table is a document, not a small change: kept a thousand times
		// it would fill memory and snapshots. Who is behind it asks for it whole.
		c.deltas = table.Table[uint64, Delta]{}
		return c
	}
	c.deltas = c.deltas.With(uint64(cfg.Version), Delta{Version: cfg.Version, Change: ch})
	for c.deltas.Len() > MaxDeltas {
		oldest, _, _ := c.deltas.First()
		c.deltas = c.deltas.Without(oldest)
	}
	return c
}

// DeltasAfter returns the changes after v, at most limit, or false where they
// are no longer kept.
func (c Catalog) DeltasAfter(v config.Version, limit int) ([]Delta, bool) {
	if v >= c.Config.Version {
		return nil, true
	}
	var out []Delta
	for next := v + 1; next <= c.Config.Version && len(out) < limit; next++ {
		d, ok := c.deltas.Get(uint64(next))
		if !ok {
			return nil, false
		}
		out = append(out, d)
	}
	return out, true
}

func (c Catalog) audit(actor, action, object, detail string) Catalog {
	c.auditSeq++
	c.trail = c.trail.With(c.auditSeq, Audit{
		Seq: c.auditSeq, At: c.Time, Actor: actor, Action: action, Object: object, Detail: detail,
	})
	if c.trail.Len() > maxAudit {
		oldest, _, _ := c.trail.First()
		c.trail = c.trail.Without(oldest)
	}
	return c
}

// Trail returns the audit lines about object, or all where it is empty.
func (c Catalog) Trail(object string) []Audit {
	var out []Audit
	for _, a := range c.trail.All() {
		if object == "" || a.Object == object {
			out = append(out, a)
		}
	}
	return out
}

// Claims returns how many claims are remembered.
func (c Catalog) Claims() int { return c.claims.Len() }

func (c Catalog) remember(id string, r Result) Catalog {
	c.writeSeq++
	c.writes = c.writes.With(id, remembered{Result: r, Seq: c.writeSeq})
	c.writeOrder = c.writeOrder.With(c.writeSeq, id)
	if c.writeOrder.Len() > maxWrites {
		seq, oldest, _ := c.writeOrder.First()
		c.writeOrder = c.writeOrder.Without(seq)
		c.writes = c.writes.Without(oldest)
	}
	return c
}
