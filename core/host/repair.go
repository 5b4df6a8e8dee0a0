// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"fmt"
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/plan"
)

const (
	// repairInterval is the time between two looks for what to repair.
	// Chosen, not measured.
	repairInterval = 5 * time.Second
	// repairPause is the shortest time between two repairs of one intent.
	// Chosen, not measured.
	repairPause = 2 * time.Minute
	// maxLost is the share of a zone's engines beyond which the zone is taken
	// to be cut off: nothing is repaired there, so that no storm of loads
	// follows. Chosen, not measured.
	maxLost = 1.0 / 3
)

// lostTargets are targets of this host's groups that are gone for good.
func (t *transition) lostTargets() []ident.Target {
	var out []ident.Target
	for id, h := range t.health.All() {
		if gid, ok := t.layout.groupOf[id]; ok && h.PresumedDead(t.now) && t.groups.Has(gid.String()) {
			out = append(out, id)
		}
	}
	return out
}

// fleetLost joins what all live owners report as lost.
func (t *transition) fleetLost() []ident.Target {
	lost := t.lostTargets()
	for _, p := range t.peers.All() {
		if p.alive {
			lost = append(lost, p.heartbeat.Lost...)
		}
	}
	slices.Sort(lost)
	return slices.Compact(lost)
}

// tickRepair makes the leader replace lost engines by the rules of the
// confirmed intents, one plan at a time.
func (t *transition) tickRepair() {
	if t.now.Before(t.repairAt) || !t.raft.LeaseHeld(t.now) {
		return
	}
	t.repairAt = t.now.Add(repairInterval)
	lost := t.fleetLost()
	if len(lost) == 0 || t.planUnderWay() {
		return
	}
	for _, in := range t.config.Intents.All() {
		if t.repair(in, lost) {
			return
		}
	}
}

func (t *transition) planUnderWay() bool {
	for _, p := range t.catalog.Plans.All() {
		if p.Status == plan.Running || p.Status == plan.Paused {
			return true
		}
	}
	return false
}

// repair states the intent again without the lost engines, where that gives
// anything to load in a zone that is not cut off.
func (t *transition) repair(in config.Intent, lost []ident.Target) bool {
	if t.repairedLately(in.ID) {
		return false
	}
	in.Replicas = slices.DeleteFunc(slices.Clone(in.Replicas), func(r config.ZoneReplicas) bool {
		return t.zoneLost(in.Service, r.Zone, lost)
	})
	if len(plan.Make("", t.config, in, lost).WithoutUnloads().Steps) == 0 {
		return false
	}
	t.counters.Repairs++
	t.writeSeq++
	t.submit(catalog.Write{
		ID: fmt.Sprintf("auto/repair/%s/%d", in.ID, t.writeSeq), Actor: "repair by " + string(t.settings.ID),
		Command: catalog.StateIntent{Intent: in, Unusable: lost, Repair: true},
	}, t.now.Add(claimTimeout))
	return true
}

func (t *transition) repairedLately(id ident.Intent) bool {
	for _, p := range t.catalog.Plans.All() {
		if p.Repair && p.Intent.ID == id && t.wallClock().Sub(p.Created) < repairPause {
			return true
		}
	}
	return false
}

func (t *transition) zoneLost(s ident.Service, z ident.Zone, lost []ident.Target) bool {
	all, gone := 0, 0
	for _, target := range t.config.Targets.All() {
		if target.Service != s || target.Zone != z {
			continue
		}
		all++
		if slices.Contains(lost, target.ID) {
			gone++
		}
	}
	return float64(gone) > maxLost*float64(all)
}
