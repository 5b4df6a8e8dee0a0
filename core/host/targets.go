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

// engineSpecs returns the engines of a group and whether each may get requests. If more than
// maxEjectedShare of the group's engines are ejected and no other group of the service has a usable
// engine, the ejected ones are used anyway: the fault is probably on this host's side. Engines of a
// zone without serving hosts are used only while they answer, as the zone may be unreachable.
func (t *transition) engineSpecs(id routing.GroupID, targets []config.Target) []routing.TargetSpec {
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
	if float64(ejected) <= maxEjectedShare*float64(len(targets)) || t.otherGroupUsable(id) {
		return specs
	}
	for i, target := range targets {
		if h, _ := t.health.Get(target.ID); h.Ejected(t.now) {
			specs[i].Usable = true
		}
	}
	return specs
}

// otherGroupUsable reports whether another group of the service has a usable engine.
func (t *transition) otherGroupUsable(id routing.GroupID) bool {
	return slices.ContainsFunc(t.loadBound(id).OtherGroups, func(l routing.GroupLoad) bool { return l.Usable > 0 })
}

// handleLoadReported applies a load report to the target's health and, if this host owns the
// target's group, to its load. A failed probe counts against the health only; an outdated or
// duplicate report changes neither. The restart check comes first because it needs the incarnation
// known before.
func (t *transition) handleLoadReported(ev LoadReported) {
	t.checkTargetRestart(ev)
	h, _ := t.health.Get(ev.Target)
	wasUsable := h.Usable(t.now)
	if ev.Failed {
		t.setHealth(ev.Target, h.WithResult(false, t.now), wasUsable)
		return
	}
	h, fresh := h.WithReport(ev.Incarnation, ev.Seq, ev.Leaving, t.now)
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

// handleTargetsListed records each configured target's state in the platform's list. A target that
// is not listed is absent, and is used only while it has recently answered.
func (t *transition) handleTargetsListed(targets []ListedTarget) {
	listings := map[ident.Target]health.Listing{}
	for _, l := range targets {
		listings[l.ID] = l.Listing
	}
	for id := range t.config.Targets.All() {
		listing, ok := listings[id]
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

// setHealth stores h. If the target's usability changes, it logs that and updates the target's
// group immediately.
func (t *transition) setHealth(id ident.Target, h health.Target, wasUsable bool) {
	t.health = t.health.With(id, h)
	usable := h.Usable(t.now)
	if usable == wasUsable {
		return
	}
	if h.Ejected(t.now) {
		t.counters.Ejections++
	}
	t.log(LogTargetHealth, string(id), fmt.Sprintf("usable=%t leaving=%t failures=%d", usable, h.IsLeaving(t.now), h.Failures))
	gid, ok := t.layout.groupOf[id]
	if !ok || !t.groups.Has(gid.String()) {
		return
	}
	for _, p := range t.layout.groupsByService[gid.Service] {
		if p.id == gid {
			g, _ := t.groups.Get(gid.String())
			g = g.WithTargets(t.engineSpecs(p.id, p.targets), t.now)
			t.groups = t.groups.With(gid.String(), g)
			t.grantWaiting(g)
		}
	}
}
