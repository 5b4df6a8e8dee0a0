// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/routing"
)

// In listed fleets, a target that declines a request may ask this host to send no requests for a
// time. Workers of plain services, and engines picked without a permit, are skipped during that
// time. Owners of engine groups do not know the backoff, as it applies to this host only: permit
// requests exclude the engine, and a permit granted for it anyway is released.

// canSendTo reports whether this host may send new requests to a target.
func (t *transition) canSendTo(id ident.Target) bool {
	h, _ := t.health.Get(id)
	return h.Usable(t.now) && h.RemainingBackoff(t.now) == 0
}

// excludedTargets returns the targets for which the call must not get a permit: those already
// tried, and those in backoff.
func (t *transition) excludedTargets(c call) []ident.Target {
	out := slices.Clone(c.triedTargets)
	for _, target := range t.callTargets(c) {
		if h, _ := t.health.Get(target.ID); h.RemainingBackoff(t.now) > 0 {
			out = append(out, target.ID)
		}
	}
	return out
}

// callTargets returns the targets of the call's group, or of its service if it has no group yet.
func (t *transition) callTargets(c call) []config.Target {
	var out []config.Target
	for _, p := range t.layout.groupsByService[c.service.ID] {
		if c.group == (routing.GroupID{}) || p.id == c.group {
			out = append(out, p.targets...)
		}
	}
	return out
}

// shortestBackoff returns the time until the first of the call's usable targets ends its backoff.
// It is 0 if one is not in backoff, or if no target is usable.
func (t *transition) shortestBackoff(c call) time.Duration {
	shortest := time.Duration(0)
	for _, target := range t.callTargets(c) {
		h, _ := t.health.Get(target.ID)
		if !h.Usable(t.now) {
			continue
		}
		left := h.RemainingBackoff(t.now)
		if left == 0 {
			return 0
		}
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}
