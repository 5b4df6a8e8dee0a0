// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"maps"
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/ident"
)

// A zone is silent for a host that polls replicas if at least minSilentReplicas of them stand there
// and none of them has replied for a while, while replicas of another zone do. Hubs report the silent
// zones to their clients, so that hosts with few requests of their own leave a zone that is cut off
// (core/requests zones.go).
//
// Inputs: the zones that replicas report, and the times of their replies.
const (
	// minSilentReplicas is how many replicas of a zone must be silent: a single one may have been
	// stopped.
	minSilentReplicas = 2
	// minZoneSilence is the least time without replies, silentIntervals that in polls.
	minZoneSilence  = time.Second
	silentIntervals = 3
)

// silentZones returns the silent zones, in order of their names. Replicas that this host does not
// poll at present say nothing about their zones.
func (t *transition) silentZones() []ident.Zone {
	limit := max(minZoneSilence, silentIntervals*t.pollInterval())
	silent, replying := map[ident.Zone]int{}, map[ident.Zone]bool{}
	for _, h := range t.seeded.hub.lastPolled {
		c, ok := t.seeded.contacts.Get(h)
		switch {
		case !ok || c.zone == "":
		case t.now.Sub(c.lastReply) <= limit:
			replying[c.zone] = true
		default:
			silent[c.zone]++
		}
	}
	if len(replying) == 0 {
		return nil
	}
	maps.DeleteFunc(silent, func(zone ident.Zone, n int) bool {
		return n < minSilentReplicas || replying[zone] || zone == t.settings.Zone
	})
	return slices.Sorted(maps.Keys(silent))
}
