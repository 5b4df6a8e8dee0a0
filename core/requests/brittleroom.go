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
// others leave theirs unused: a balancer may hand nearly all connections to one host. The part grows by one
// request at a time, and only once loads have been reported that other hosts had after the last step, as a
// burst at all hosts looks the same to each of them at first. Several hosts may grow at the same time, so
// each assumes that all that have requests at the worker do. A declined request, or a second without need,
// takes the host back to its part.
//
// Inputs: requests without room, the reported loads of other hosts with their as-of time, slots, and the
// number of entry hosts.
const (
	// growthSettleTime is the least time between a step and the loads that decide on the next one.
	growthSettleTime = 100 * time.Millisecond
	// growthLifetime is how long a larger part is kept without need.
	growthLifetime = time.Second
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
		part := max(1, slots/max(1, t.hostCount)) + extra + 1
		growing := min(others, t.hostCount-1)
		if slots < t.hostCount && others > 0 {
			// The others have less than one request there at a time, and may all want more.
			return false
		}
		if part > int(growthLimit*float64(slots)) || others+growing+part > slots {
			return false
		}
	}
	return true
}

// shrinkRoom takes the host back to its part of a pool's workers, as one of them declined.
func (t *transition) shrinkRoom(pool ident.Service) { t.roomGrowths = t.roomGrowths.Without(pool) }
