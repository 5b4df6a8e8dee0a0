// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/routing"
)

// In listed fleets too, a target that declines may request a backoff: no requests from this host for
// a time. Workers of plain services, and engines that this host picks by its own view, are passed
// over. Owners of engine groups do not know of it, as it is this host's: they get requests for another
// engine, and a permit that comes for this one is given back.
//
// Inputs: what targets say as they decline.

// canUse tells whether this host may send new work to a target.
func (t *transition) canUse(id ident.Target) bool {
	h, _ := t.health.Get(id)
	return h.Usable(t.now) && h.RemainingBackoff(t.now) == 0
}

// excluded are the targets that the call's permit must not be for: those that it has tried, and
// those of the group that back off.
func (t *transition) excluded(c call) []ident.Target {
	out := slices.Clone(c.tried)
	for _, target := range t.targetsOf(c) {
		if h, _ := t.health.Get(target.ID); h.RemainingBackoff(t.now) > 0 {
			out = append(out, target.ID)
		}
	}
	return out
}

// targetsOf are the targets of the call's group, or of its service where it has none.
func (t *transition) targetsOf(c call) []config.Target {
	var out []config.Target
	for _, p := range t.layout.groupsByService[c.service.ID] {
		if c.group == (routing.GroupID{}) || p.id == c.group {
			out = append(out, p.targets...)
		}
	}
	return out
}

// leastBackoff is the time until the first of the usable targets of a call is available; 0 where
// one does not back off, or there is none.
func (t *transition) leastBackoff(c call) time.Duration {
	least := time.Duration(0)
	for _, target := range t.targetsOf(c) {
		h, _ := t.health.Get(target.ID)
		if !h.Usable(t.now) {
			continue
		}
		left := h.RemainingBackoff(t.now)
		if left == 0 {
			return 0
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}
