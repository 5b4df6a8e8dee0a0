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
	// repairInterval is the time between two checks for lost engines.
	repairInterval = 5 * time.Second
	// minRepairInterval is the minimum time between two repairs of an intent.
	minRepairInterval = 2 * time.Minute
	// maxLostShare is the share of a zone's engines above which, if they are lost, the zone counts
	// as unreachable. Nothing is repaired there, as that would start many loads at once.
	maxLostShare = 1.0 / 3
)

// lostTargets returns the lost targets of groups that this host owns.
func (t *transition) lostTargets() []ident.Target {
	var out []ident.Target
	for id, h := range t.health.All() {
		if gid, ok := t.layout.groupOf[id]; ok && h.PresumedDead(t.now) && t.groups.Has(gid.String()) {
			out = append(out, id)
		}
	}
	return out
}

// fleetLostTargets returns the targets that this host or other live hosts report as lost.
func (t *transition) fleetLostTargets() []ident.Target {
	lost := t.lostTargets()
	for _, p := range t.peers.All() {
		if p.alive {
			lost = append(lost, p.heartbeat.Lost...)
		}
	}
	slices.Sort(lost)
	return slices.Compact(lost)
}

// tickRepair makes the leader replace lost engines according to the confirmed intents, one plan at
// a time.
func (t *transition) tickRepair() {
	if t.now.Before(t.nextRepairAt) || !t.raft.LeaseHeld(t.now) {
		return
	}
	t.nextRepairAt = t.now.Add(repairInterval)
	lost := t.fleetLostTargets()
	if len(lost) == 0 || t.planActive() {
		return
	}
	for _, intent := range t.config.Intents.All() {
		if t.repairIntent(intent, lost) {
			return
		}
	}
}

func (t *transition) planActive() bool {
	for _, p := range t.catalog.Plans.All() {
		if p.Status == plan.Running || p.Status == plan.Paused {
			return true
		}
	}
	return false
}

// repairIntent submits the intent again without the lost engines, if that loads any engine in a
// reachable zone. It reports whether it did.
func (t *transition) repairIntent(intent config.Intent, lost []ident.Target) bool {
	if t.recentlyRepaired(intent.ID) {
		return false
	}
	intent.Replicas = slices.DeleteFunc(slices.Clone(intent.Replicas), func(r config.ZoneReplicas) bool {
		return t.zoneUnreachable(intent.Service, r.Zone, lost)
	})
	if len(plan.Make("", t.config, intent, lost).WithoutUnloads().Steps) == 0 {
		return false
	}
	t.counters.Repairs++
	t.writeSeq++
	t.submit(catalog.Write{
		ID: fmt.Sprintf("auto/repair/%s/%d", intent.ID, t.writeSeq), Actor: "repair by " + string(t.settings.ID),
		Command: catalog.StateIntent{Intent: intent, Unusable: lost, Repair: true},
	}, t.now.Add(claimTimeout))
	return true
}

func (t *transition) recentlyRepaired(id ident.Intent) bool {
	for _, p := range t.catalog.Plans.All() {
		if p.Repair && p.Intent.ID == id && t.wallClock().Sub(p.Created) < minRepairInterval {
			return true
		}
	}
	return false
}

// zoneUnreachable reports whether more than maxLostShare of the service's targets in the zone are
// lost. That many losses at once more likely mean that the zone is partitioned or down than that
// its targets failed one by one.
func (t *transition) zoneUnreachable(s ident.Service, z ident.Zone, lost []ident.Target) bool {
	total, lostCount := 0, 0
	for _, target := range t.config.Targets.All() {
		if target.Service != s || target.Zone != z {
			continue
		}
		total++
		if slices.Contains(lost, target.ID) {
			lostCount++
		}
	}
	return float64(lostCount) > maxLostShare*float64(total)
}
