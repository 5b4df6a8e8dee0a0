// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package catalog

import (
	"fmt"
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/plan"
	"github.com/yardhall/yardhall/core/table"
)

const (
	// planExpiry is how long a proposed plan may be confirmed.
	planExpiry = 24 * time.Hour
	// maxPlans bounds the plans remembered; those that ended first are dropped first.
	maxPlans = 256
	// orderRetry is the pause before a failed step is ordered again.
	orderRetry = 5 * time.Second
	// maxAttempts is how often a step is ordered before its plan fails.
	maxAttempts = 5
)

func (c Catalog) stateIntent(actor string, cmd StateIntent) (Catalog, Result) {
	if _, err := c.Config.With(config.PutIntent{Intent: cmd.Intent}); err != nil {
		return c, Result{Code: Invalid, Reason: err.Error()}
	}
	c.planSeq++
	id := ident.Plan(fmt.Sprintf("plan-%d", c.planSeq))
	p := plan.Make(id, c.Config, cmd.Intent, cmd.Unusable)
	p.Created = c.Time
	if p.Repair = cmd.Repair; p.Repair {
		p = p.WithoutUnloads()
	}
	p.Rev = 1
	if cmd.Repair && len(p.Steps) > 0 {
		p.Status = plan.Running
	}
	c.Plans = trimmed(c.Plans.With(p.ID, p))
	c = c.audit(actor, "plan-made", string(p.ID), fmt.Sprintf("%d steps for intent %s", len(p.Steps), cmd.Intent.ID))
	return c, Result{Code: OK, Plan: p.ID, Version: c.Config.Version}
}

func (c Catalog) decide(actor string, cmd Decide) (Catalog, Result) {
	p, ok := c.Plans.Get(cmd.Plan)
	if !ok {
		return c, Result{Code: NotFound, Reason: fmt.Sprintf("no plan %q", cmd.Plan)}
	}
	if cmd.Verb == Confirm && p.Status != plan.Proposed && p.Status != plan.Rejected {
		// Confirmed twice is done once.
		return c, Result{Code: OK, Plan: p.ID, Version: c.Config.Version, Reason: "already confirmed"}
	}
	if cmd.Rev != p.Rev {
		return c, Result{Code: Conflict, Plan: p.ID, Reason: fmt.Sprintf("plan %q is at revision %d", p.ID, p.Rev)}
	}
	switch cmd.Verb {
	case Confirm:
		return c.confirm(actor, p, cmd)
	case Reject:
		return c.moveTo(actor, p, plan.Rejected, plan.Proposed)
	case Pause:
		return c.moveTo(actor, p, plan.Paused, plan.Running)
	case Resume:
		return c.moveTo(actor, p, plan.Running, plan.Paused)
	case Abort:
		return c.moveTo(actor, p, plan.Aborted, plan.Running, plan.Paused)
	}
	return c, Result{Code: Invalid, Reason: fmt.Sprintf("unknown decision %q", cmd.Verb)}
}

func (c Catalog) confirm(actor string, p plan.Plan, cmd Decide) (Catalog, Result) {
	if c.Time.Sub(p.Created) > planExpiry || p.Status == plan.Rejected {
		return c, Result{Code: Conflict, Plan: p.ID, Reason: "the plan has expired or was rejected"}
	}
	fresh := plan.Make(p.ID, c.Config, p.Intent, cmd.Unusable)
	if !sameSteps(fresh.Steps, p.Steps) {
		next, made := c.stateIntent(actor, StateIntent{Intent: p.Intent, Unusable: cmd.Unusable})
		made.Code = GroundMoved
		made.Reason = fmt.Sprintf("%s was made at version %d and would now differ; see %s", p.ID, p.Base, made.Plan)
		return next, made
	}
	cfg, err := c.Config.With(config.PutIntent{Intent: p.Intent})
	if err != nil {
		return c, Result{Code: Invalid, Reason: err.Error()}
	}
	c = c.withConfig(cfg, config.PutIntent{Intent: p.Intent})
	p.Status = plan.Running
	p.Rev++
	if p.Finished() {
		p.Status = plan.Done
	}
	c.Plans = c.Plans.With(p.ID, p)
	c = c.audit(actor, "plan-confirmed", string(p.ID), "")
	return c, Result{Code: OK, Plan: p.ID, Version: c.Config.Version}
}

func sameSteps(a, b []plan.Step) bool {
	return slices.EqualFunc(a, b, func(x, y plan.Step) bool {
		return x.Action == y.Action && x.Target == y.Target && x.Model == y.Model
	})
}

func (c Catalog) moveTo(actor string, p plan.Plan, to plan.Status, from ...plan.Status) (Catalog, Result) {
	if !slices.Contains(from, p.Status) {
		return c, Result{Code: Conflict, Plan: p.ID, Reason: fmt.Sprintf("plan %q is %s", p.ID, p.Status)}
	}
	p.Status = to
	p.Rev++
	c.Plans = c.Plans.With(p.ID, p)
	c = c.audit(actor, "plan-"+string(to), string(p.ID), "")
	return c, Result{Code: OK, Plan: p.ID, Version: c.Config.Version}
}

// issueOrder gives the step a fencing token higher than any before it.
func (c Catalog) issueOrder(cmd IssueOrder) (Catalog, Result) {
	p, ok := c.Plans.Get(cmd.Plan)
	if !ok || cmd.Step >= len(p.Steps) {
		return c, Result{Code: NotFound, Reason: "no such step"}
	}
	s := p.Steps[cmd.Step]
	resend := s.Status == plan.StepOrdered
	if p.Status != plan.Running || (s.Status != plan.StepWaiting && !resend) {
		return c, Result{Code: Conflict, Reason: "the step is not waiting"}
	}
	if s.Action == plan.Load && !resend {
		if c.Time.Before(c.loadFree) {
			return c, Result{Code: Conflict, Reason: "the weight store is busy"}
		}
		c.loadFree = c.Time.Add(c.loadTime(p, s))
	}
	c.fence++
	s.Status, s.Token = plan.StepOrdered, c.fence
	s.Attempts++
	c.Plans = c.Plans.With(p.ID, p.WithStep(cmd.Step, s))
	return c, Result{Code: OK, Plan: p.ID, Token: c.fence}
}

// loadTime is how long the weight store sends a step's bytes at its rate.
func (c Catalog) loadTime(p plan.Plan, s plan.Step) time.Duration {
	service, _ := c.Config.Services.Get(p.Intent.Service)
	if service.LoadBytesPerSecond == 0 {
		return 0
	}
	return time.Duration(float64(s.Bytes) / float64(service.LoadBytesPerSecond) * float64(time.Second))
}

// LoadFree is when the next load may be ordered.
func (c Catalog) LoadFree() time.Time { return c.loadFree }

func (c Catalog) endOrder(actor string, cmd EndOrder) (Catalog, Result) {
	p, ok := c.Plans.Get(cmd.Plan)
	if !ok || cmd.Step >= len(p.Steps) {
		return c, Result{Code: NotFound, Reason: "no such step"}
	}
	s := p.Steps[cmd.Step]
	if s.Status != plan.StepOrdered || s.Token != cmd.Token {
		return c, Result{Code: Conflict, Reason: "the order was replaced"}
	}
	if !cmd.OK {
		return c.failOrder(actor, p, cmd, s), Result{Code: OK, Plan: p.ID}
	}
	s.Status = plan.StepDone
	p = p.WithStep(cmd.Step, s)
	if t, ok := c.Config.Targets.Get(s.Target); ok {
		ch := config.SetModels{Target: s.Target, Models: modelsAfter(t, s)}
		if cfg, err := c.Config.With(ch); err == nil {
			c = c.withConfig(cfg, ch)
		}
	}
	if p.Finished() && p.Status == plan.Running {
		p.Status = plan.Done
		p.Rev++
	}
	c.Plans = c.Plans.With(p.ID, p)
	c = c.audit(actor, "order-done", string(p.ID), fmt.Sprintf("%s %s on %s", s.Action, s.Model, s.Target))
	return c, Result{Code: OK, Plan: p.ID, Version: c.Config.Version}
}

func (c Catalog) failOrder(actor string, p plan.Plan, cmd EndOrder, s plan.Step) Catalog {
	s.Status = plan.StepWaiting
	s.NotBefore = c.Time.Add(orderRetry)
	if s.Attempts >= maxAttempts {
		s.Status = plan.StepFailed
		p.Status = plan.Failed
		p.Rev++
	}
	c.Plans = c.Plans.With(p.ID, p.WithStep(cmd.Step, s))
	return c.audit(actor, "order-failed", string(p.ID), fmt.Sprintf("%s %s on %s: %s", s.Action, s.Model, s.Target, cmd.Error))
}

func modelsAfter(t config.Target, s plan.Step) []ident.Model {
	models := slices.DeleteFunc(slices.Clone(t.Models), func(m ident.Model) bool { return m == s.Model })
	if s.Action == plan.Load {
		models = append(models, s.Model)
	}
	return models
}

// trimmed drops the oldest plans that have ended, beyond the bound.
func trimmed(plans table.Table[ident.Plan, plan.Plan]) table.Table[ident.Plan, plan.Plan] {
	for plans.Len() > maxPlans {
		oldest, found := plan.Plan{}, false
		for _, p := range plans.All() {
			if p.Status != plan.Running && p.Status != plan.Paused && (!found || p.Created.Before(oldest.Created)) {
				oldest, found = p, true
			}
		}
		if !found {
			return plans
		}
		plans = plans.Without(oldest.ID)
	}
	return plans
}
