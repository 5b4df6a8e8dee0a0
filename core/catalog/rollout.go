// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package catalog

import (
	"fmt"
	"slices"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/rollouts"
)

// hasService reports whether the route table has a service.
func (c Catalog) hasService(id ident.Service) bool {
	return slices.ContainsFunc(c.Config.Gateway.Pools, func(p config.Pool) bool { return p.ID == id })
}

func (c Catalog) orderRollout(actor string, cmd OrderRollout) (Catalog, Result) {
	if err := cmd.Validate(); err != nil {
		return c, c.rolloutResult(Invalid, err.Error())
	}
	next, outcome := c.Rollouts.WithOrder(cmd.Order, c.Time)
	if isRepeated := outcome == rollouts.Done && next.Revision == c.Rollouts.Revision; !isRepeated && !c.hasService(cmd.Service) {
		return c, c.rolloutResult(Invalid, fmt.Sprintf("the route table has no service %.80q", cmd.Service))
	}
	if outcome == rollouts.Done && next.Revision != c.Rollouts.Revision {
		c = c.audit(actor, "OrderRollout", rolloutObject(cmd.Service), fmt.Sprintf("version %s in %s", cmd.To, cmd.Duration))
	}
	return c.withRollouts(next, outcome)
}

func (c Catalog) advanceRollout(actor string, cmd AdvanceRollout) (Catalog, Result) {
	next, outcome := c.Rollouts.WithProgress(cmd.Progress, c.Time)
	if e, _ := next.Of(cmd.Service); outcome == rollouts.Done && !e.Rollout.IsRunning() {
		c = c.audit(actor, "EndRollout", rolloutObject(cmd.Service), endDetail(e.Rollout))
	}
	return c.withRollouts(next, outcome)
}

func (c Catalog) adoptVersion(cmd AdoptVersion) (Catalog, Result) {
	if !c.hasService(cmd.Service) {
		return c, c.rolloutResult(Invalid, fmt.Sprintf("the route table has no service %.80q", cmd.Service))
	}
	return c.withRollouts(c.Rollouts.WithAdoption(cmd.Adoption))
}

func (c Catalog) revertRollout(actor string, cmd RevertRollout) (Catalog, Result) {
	next, outcome := c.Rollouts.WithRevert(cmd.Revert, c.Time)
	if outcome == rollouts.Done && next.Revision != c.Rollouts.Revision {
		e, _ := next.Of(cmd.Service)
		c = c.audit(actor, "RevertRollout", rolloutObject(cmd.Service), endDetail(e.Rollout))
	}
	return c.withRollouts(next, outcome)
}

// withRollouts returns the catalog and the result after a change of the rollouts.
func (c Catalog) withRollouts(next rollouts.State, outcome rollouts.Outcome) (Catalog, Result) {
	switch outcome {
	case rollouts.Busy:
		return c, c.rolloutResult(Conflict, "another rollout of the service is running")
	case rollouts.Stale:
		return c, c.rolloutResult(Conflict, "the rollout has ended or has passed this phase")
	case rollouts.Unknown:
		return c, c.rolloutResult(NotFound, "the service has no rollout")
	case rollouts.TooMany:
		return c, c.rolloutResult(Invalid, "rollouts of too many services are remembered")
	case rollouts.Done:
	}
	c.Rollouts = next
	return c, c.rolloutResult(OK, "")
}

func (c Catalog) rolloutResult(code Code, reason string) Result {
	return Result{Code: code, Reason: reason, Version: c.Config.Version, Rollouts: c.Rollouts.Revision}
}

// rolloutObject names a service's rollouts in the audit trail.
func rolloutObject(service ident.Service) string { return "rollout/" + string(service) }

// endDetail describes the end of a rollout in the audit trail.
func endDetail(r rollouts.Rollout) string {
	detail := fmt.Sprintf("version %s %s after %s", r.To, r.Phase, r.Elapsed)
	if r.Reason != "" {
		detail += ": " + r.Reason
	}
	return detail
}
