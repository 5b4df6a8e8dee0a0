// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/loads"
	"github.com/yardhall/yardhall/core/registry"
)

// A host's part of a brittle worker (brittle.go) grows while the host has requests that find no room and the
// others leave theirs unused: a balancer may hand nearly all connections to one host. Hosts that meet a burst
// in the same moment all read loads from before it, and the next one soon after. Each therefore reports for a
// while that it needed more than its part, or used it at all. The slots beyond the parts of those that only
// use theirs are divided among those in need, so that the larger parts do not exceed the slots together.
//
// The part grows by one request at a time, and only once loads have been reported that other hosts had after
// the last step. It shrinks as soon as the reports leave less; a declined request, or a second without need,
// takes the host back to its part.
//
// Inputs: requests without room, the reported loads of other hosts with their as-of time, how many of them
// used the pool and needed more, slots, and the number of entry hosts.
const (
	// growthSettleTime is the least time between a step and the loads that decide on the next one.
	growthSettleTime = 100 * time.Millisecond
	// growthLifetime is how long a larger part is kept without need, and how long a need is reported.
	growthLifetime = time.Second
	// useLifetime is how long a host reports that it uses a pool.
	useLifetime = 500 * time.Millisecond
	// growthLimit is the fraction of a worker's slots that one host may use. The rest takes the first
	// requests of other hosts until their loads are reported.
	growthLimit = 2.0 / 3
)

// roomGrowth is by how much a host's part of each brittle worker of a pool has grown.
type roomGrowth struct {
	extra int
	// since is when it last grew, or when a request first found no room; neededAt is when one last did.
	since    time.Time
	neededAt time.Time
}

// extraRoom returns by how many requests the host's part of the pool's workers has grown.
func (t *transition) extraRoom(pool ident.Service) int {
	g, _ := t.roomGrowths.Get(pool)
	if t.now.Sub(g.neededAt) > growthLifetime {
		return 0
	}
	return g.extra
}

// growRoom lets the host's part of the pool's workers grow by one if a request found no room there.
func (t *transition) growRoom(p config.Pool) {
	g, _ := t.roomGrowths.Get(p.ID)
	if t.now.Sub(g.neededAt) > growthLifetime {
		g = roomGrowth{since: t.now}
	}
	g.neededAt = t.now
	if t.reportedAsOf.After(g.since.Add(growthSettleTime)) && t.mayGrowRoom(p, g.extra) {
		g.extra, g.since = g.extra+1, t.now
	}
	t.roomGrowths = t.roomGrowths.With(p.ID, g)
}

// mayGrowRoom reports whether other hosts leave room at all workers of a pool for one more request of this
// host than its part and extra ones.
func (t *transition) mayGrowRoom(p config.Pool, extra int) bool {
	for m := range t.workers.Pool(p.ID).All() {
		if m.state != registry.Ready {
			continue
		}
		slots, others := m.placement.Value().slots, t.reportedLoads[loads.TagOfKey(m.key)]
		part := t.partOf(slots) + extra + 1
		growing := min(others, t.hostCount-1)
		if slots < t.hostCount && others > 0 {
			// The others have less than one request there at a time, and may all want more.
			return false
		}
		if part > t.largestPart(p.ID, slots) || others+growing+part > slots {
			return false
		}
	}
	return true
}

// partOf returns a host's part of a worker's slots.
func (t *transition) partOf(slots int) int { return max(1, slots/max(1, t.hostCount)) }

// largestPart returns how many of a worker's slots this host may use, as far as the others report what they
// use and need.
func (t *transition) largestPart(pool ident.Service, slots int) int {
	inNeed := t.reportedLoads[needTag(pool)]
	withoutNeed := max(0, t.reportedLoads[useTag(pool)]-inNeed)
	free := max(0, slots-withoutNeed*t.partOf(slots))
	return min(free/(1+inNeed), int(growthLimit*float64(slots)))
}

// shrinkToReports takes grown parts back to what the newest reports of other hosts leave.
func (t *transition) shrinkToReports() {
	for pool, g := range t.roomGrowths.All() {
		extra := g.extra
		for m := range t.workers.Pool(pool).All() {
			slots := m.placement.Value().slots
			if m.state == registry.Ready {
				extra = min(extra, max(0, t.largestPart(pool, slots)-t.partOf(slots)))
			}
		}
		if extra < g.extra {
			g.extra = extra
			t.roomGrowths = t.roomGrowths.With(pool, g)
		}
	}
}

// addRoomUse adds to this host's reported loads which pools of brittle workers it used lately, and in which
// of them it needed more than its part.
func (s State) addRoomUse(own loads.Counts, now time.Time) {
	for pool, b := range s.brittlePools.All() {
		rate, _ := s.sendRates.Get(pool)
		if !now.Before(b.until) || now.Sub(rate.at) > useLifetime {
			continue
		}
		own[useTag(pool)]++
		if g, ok := s.roomGrowths.Get(pool); ok && now.Sub(g.neededAt) <= growthLifetime {
			own[needTag(pool)]++
		}
	}
}

// useTag is the tag of the hosts that use a pool among reported loads, needTag that of those that need more
// than their part.
func useTag(pool ident.Service) loads.Tag { return loads.TagOf(ident.Target("hosts that use " + pool)) }

func needTag(pool ident.Service) loads.Tag {
	return loads.TagOf(ident.Target("hosts in need of " + pool))
}

// shrinkRoom takes the host back to its part of a pool's workers, as one of them declined.
func (t *transition) shrinkRoom(pool ident.Service) { t.roomGrowths = t.roomGrowths.Without(pool) }
