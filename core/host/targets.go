// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"fmt"
	"slices"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/health"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/routing"
)

// specs says of each target whether it may get work. Where failures have taken
// more than maxEjected of a service's last usable group, those are used all the
// same: most likely the fault is on our side. Targets of a zone without hosts
// of its own are used only while they answer: the zone may be cut off.
func (t *transition) specs(id routing.GroupID, targets []config.Target) []routing.TargetSpec {
	specs := make([]routing.TargetSpec, 0, len(targets))
	ejected := 0
	for _, target := range targets {
		h, _ := t.health.Get(target.ID)
		if h.Ejected(t.now) {
			ejected++
		}
		specs = append(specs, routing.TargetSpec{
			ID: target.ID, Slots: target.Slots, Models: target.Models,
			Usable: h.Usable(t.now) && (id.Zone == t.settings.Zone || h.IsResponding(t.now)),
		})
	}
	if float64(ejected) <= maxEjected*float64(len(targets)) || t.usableElsewhere(id) {
		return specs
	}
	for i, target := range targets {
		if h, _ := t.health.Get(target.ID); h.Ejected(t.now) {
			specs[i].Usable = true
		}
	}
	return specs
}

// usableElsewhere tells whether another group of the service has an engine.
func (t *transition) usableElsewhere(id routing.GroupID) bool {
	return slices.ContainsFunc(t.bound(id).OtherGroups, func(l routing.GroupLoad) bool { return l.Usable > 0 })
}

func (t *transition) reported(ev LoadReported) {
	t.targetReported(ev)
	h, _ := t.health.Get(ev.Target)
	wasUsable := h.Usable(t.now)
	if ev.Failed {
		t.setHealth(ev.Target, h.WithResult(false, t.now), wasUsable)
		return
	}
	h, fresh := h.WithReport(ev.Boot, ev.Seq, ev.Leaving, t.now)
	if !fresh {
		return
	}
	t.setHealth(ev.Target, h, wasUsable)
	id, ok := t.layout.groupOf[ev.Target]
	if !ok {
		return
	}
	if g, ok := t.groups.Get(id.String()); ok {
		t.groups = t.groups.With(id.String(), g.WithReport(ev.Target, ev.InFlight, t.now))
	}
}

func (t *transition) listed(targets []ListedTarget) {
	seen := map[ident.Target]health.Listing{}
	for _, l := range targets {
		seen[l.ID] = l.Listing
	}
	for id := range t.config.Targets.All() {
		listing, ok := seen[id]
		if !ok {
			listing = health.Absent
		}
		h, _ := t.health.Get(id)
		if h.Listing != listing {
			t.setHealth(id, h.WithListing(listing), h.Usable(t.now))
		}
	}
}

func (t *transition) markLeaving(id ident.Target) {
	h, _ := t.health.Get(id)
	t.setHealth(id, h.WithLeavingFromPeer(t.now), h.Usable(t.now))
}

// setHealth stores h; a change of the verdict is noted and takes effect in the
// target's group at once.
func (t *transition) setHealth(id ident.Target, h health.Target, wasUsable bool) {
	t.health = t.health.With(id, h)
	usable := h.Usable(t.now)
	if usable == wasUsable {
		return
	}
	if h.Ejected(t.now) {
		t.counters.Ejections++
	}
	t.note(LogTargetHealth, string(id), fmt.Sprintf("usable=%t leaving=%t failures=%d", usable, h.IsLeaving(t.now), h.Failures))
	gid, ok := t.layout.groupOf[id]
	if !ok || !t.groups.Has(gid.String()) {
		return
	}
	for _, p := range t.layout.groupsByService[gid.Service] {
		if p.id == gid {
			g, _ := t.groups.Get(gid.String())
			g = g.WithTargets(t.specs(p.id, p.targets), t.now)
			t.groups = t.groups.With(gid.String(), g)
			t.serve(g)
		}
	}
}
