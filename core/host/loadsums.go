// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"maps"
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/loads"
)

const (
	// minSumInterval and sumIntervalPerHost bound how long sums are used. Chosen, not
	// measured: at 300 hosts they are added up about seven times a second.
	minSumInterval     = 50 * time.Millisecond
	sumIntervalPerHost = 500 * time.Microsecond
	// sumWarmUp is how long a replica that starts is polled before it reports sums, which
	// would lack those that have not polled yet.
	sumWarmUp = 2 * maxPollInterval
)

// loadSums are the loads of all clients. They are added up anew after a while, not for
// each poll.
type loadSums struct {
	at    time.Time
	total loads.Digest
	// parts are what each host reported when they were added up; never changed in place.
	parts map[ident.Host]loads.Digest
	// serving is the number of entry hosts.
	serving int
}

// others are the loads of all hosts but one, and of those outside the sum.
func (s loadSums) others(but ident.Host, outside loads.Digest) loads.Digest {
	rest := s.total.Subtract(s.parts[but])
	if len(outside) == 0 {
		return rest
	}
	return loads.Sum(slices.Values([]loads.Digest{rest, outside}))
}

// sumLoads returns the sums, added up anew where they are too old, and drops the clients
// that poll no more.
func (t *transition) sumLoads() loadSums {
	interval := max(minSumInterval, time.Duration(t.seeded.clients.Len())*sumIntervalPerHost)
	if t.now.Sub(t.seeded.sums.at) < interval {
		return t.seeded.sums
	}
	next := loadSums{at: t.now, parts: map[ident.Host]loads.Digest{}}
	for id, c := range t.seeded.clients.All() {
		if !c.isLive(t.now) {
			t.seeded.clients = t.seeded.clients.Without(id)
			continue
		}
		next.parts[id] = c.loads
	}
	if t.settings.Serves {
		next.parts[t.settings.ID] = t.requests.Loads(t.now)
	}
	next.serving = len(t.liveEntryHosts())
	next.total = loads.Sum(maps.Values(next.parts))
	t.seeded.sums = next
	return next
}
