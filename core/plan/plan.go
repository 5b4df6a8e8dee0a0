// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package plan works out how to bring engines to what an intent says: which
// engine loads or unloads a model, in which order, at what cost and why.
//
// # Usage
//
//	p := plan.Make("p-1", cfg, intent, unusable)
//
// Make is pure and deterministic: the same configuration, intent and set of
// unusable engines give the same plan, and a fulfilled intent gives a plan
// without steps.
package plan

import (
	"fmt"
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
)

// Status is where a plan stands.
type Status string

// Statuses of a plan.
const (
	Proposed Status = "proposed"
	Running  Status = "running"
	Paused   Status = "paused"
	Done     Status = "done"
	Rejected Status = "rejected"
	Aborted  Status = "aborted"
	Failed   Status = "failed"
)

// Action is what a step does to an engine.
type Action string

// Actions of a step.
const (
	Load   Action = "load"
	Unload Action = "unload"
)

// StepStatus is where a step stands.
type StepStatus string

// Statuses of a step.
const (
	StepWaiting StepStatus = "waiting"
	StepOrdered StepStatus = "ordered"
	StepDone    StepStatus = "done"
	StepFailed  StepStatus = "failed"
)

// Step is one order to one engine.
type Step struct {
	Action Action       `json:"action,omitempty"`
	Target ident.Target `json:"target,omitempty"`
	Zone   ident.Zone   `json:"zone,omitempty"`
	Model  ident.Model  `json:"model,omitempty"`
	// Bytes is what the weight store must send.
	Bytes  int64      `json:"bytes,omitempty"`
	Reason string     `json:"reason,omitempty"`
	Status StepStatus `json:"status,omitempty"`
	// Token is the fencing token of the newest order; 0 before the first.
	Token uint64 `json:"token,omitempty"`
	// Attempts counts the orders sent for this step.
	Attempts int `json:"attempts,omitempty"`
	// NotBefore is when a failed step may be ordered again.
	NotBefore time.Time `json:"not_before,omitempty"`
}

// Plan is the way from the present placement to an intent.
type Plan struct {
	ID     ident.Plan    `json:"id"`
	Intent config.Intent `json:"intent,omitempty"`
	// Base is the configuration version that the plan was made from.
	Base    config.Version `json:"base,omitempty"`
	Status  Status         `json:"status,omitempty"`
	Steps   []Step         `json:"steps,omitempty"`
	Bytes   int64          `json:"bytes,omitempty"`
	Lacking []string       `json:"lacking,omitempty"`
	Created time.Time      `json:"created,omitempty"`
	// Repair is true where the system made the plan itself.
	Repair bool   `json:"repair,omitempty"`
	Rev    uint64 `json:"rev,omitempty"`
}

// WithStep returns the plan with step i replaced.
func (p Plan) WithStep(i int, s Step) Plan {
	p.Steps = slices.Clone(p.Steps)
	p.Steps[i] = s
	return p
}

// Finished tells whether every step is done.
func (p Plan) Finished() bool {
	return !slices.ContainsFunc(p.Steps, func(s Step) bool { return s.Status != StepDone })
}

// Next returns the first step that may be ordered at now. Loads come before
// unloads, one order at a time for a target, and an unload waits until every
// load of its zone is done, so that no zone loses a model during the change.
func (p Plan) Next(now time.Time, inFlight int, limit int) (int, bool) {
	if p.Status != Running || inFlight >= limit {
		return 0, false
	}
	for i, s := range p.Steps {
		if s.Status != StepWaiting || now.Before(s.NotBefore) || p.busy(s.Target) {
			continue
		}
		if s.Action == Unload && p.loadsLeft(s) {
			continue
		}
		return i, true
	}
	return 0, false
}

func (p Plan) busy(t ident.Target) bool {
	return slices.ContainsFunc(p.Steps, func(s Step) bool { return s.Target == t && s.Status == StepOrdered })
}

// loadsLeft tells whether an unload must wait: for every load of its own model
// in the zone. A swap on one engine (unload to make room) does not wait.
func (p Plan) loadsLeft(u Step) bool {
	return slices.ContainsFunc(p.Steps, func(s Step) bool {
		return s.Action == Load && s.Model == u.Model && s.Zone == u.Zone && s.Status != StepDone
	})
}

// Make returns the plan that brings the engines of cfg to intent. Engines in
// unusable are not given new models.
func Make(id ident.Plan, cfg config.Config, intent config.Intent, unusable []ident.Target) Plan {
	p := Plan{ID: id, Intent: intent, Base: cfg.Version, Status: Proposed}
	for _, want := range intent.Replicas {
		p = p.withZone(cfg, want, unusable)
	}
	for _, s := range p.Steps {
		p.Bytes += s.Bytes
	}
	return p
}

func (p Plan) withZone(cfg config.Config, want config.ZoneReplicas, unusable []ident.Target) Plan {
	var have, spare []config.Target
	for _, t := range cfg.Targets.All() {
		if t.Service != p.Intent.Service || t.Zone != want.Zone {
			continue
		}
		barred := slices.Contains(p.Intent.Exclude, t.ID) || slices.Contains(unusable, t.ID)
		switch {
		case t.HasModel(p.Intent.Model) && slices.Contains(p.Intent.Exclude, t.ID):
			p = p.withStep(cfg, Unload, t, "engine is excluded by the intent")
		case t.HasModel(p.Intent.Model) && !barred:
			have = append(have, t)
		case !t.HasModel(p.Intent.Model) && !barred && room(t) > 0:
			spare = append(spare, t)
		}
	}
	byRoom(spare)
	missing := want.Count - len(have)
	for _, t := range spare[:max(0, min(missing, len(spare)))] {
		p = p.withStep(cfg, Load, t, fmt.Sprintf("zone %s has %d of %d", want.Zone, len(have), want.Count))
	}
	if missing > len(spare) {
		p.Lacking = append(p.Lacking, fmt.Sprintf("zone %s lacks %d engines with room for %s",
			want.Zone, missing-len(spare), p.Intent.Model))
	}
	byRoom(have)
	for _, t := range have[:max(0, -missing)] {
		p = p.withStep(cfg, Unload, t, fmt.Sprintf("zone %s has %d of %d", want.Zone, len(have), want.Count))
	}
	return p
}

// WithoutUnloads returns the plan with its loads only: a repair takes nothing
// away, as what is lost may come back.
func (p Plan) WithoutUnloads() Plan {
	p.Steps = slices.DeleteFunc(slices.Clone(p.Steps), func(s Step) bool { return s.Action == Unload })
	return p
}

func (p Plan) withStep(cfg config.Config, a Action, t config.Target, reason string) Plan {
	s := Step{Action: a, Target: t.ID, Zone: t.Zone, Model: p.Intent.Model, Reason: reason, Status: StepWaiting}
	if m, ok := cfg.Models.Get(s.Model); ok && a == Load {
		s.Bytes = m.WeightBytes
	}
	p.Steps = append(slices.Clip(p.Steps), s)
	return p
}

// room is how many more models fit on t.
func room(t config.Target) int { return max(1, t.MaxModels) - len(t.Models) }

// byRoom puts the engines with most room first; equals stay in id order.
func byRoom(ts []config.Target) {
	slices.SortStableFunc(ts, func(a, b config.Target) int { return room(b) - room(a) })
}
