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
	// minSumInterval and sumIntervalPerHost bound how long a sum is reused, so that replies to
	// many polls share one.
	minSumInterval     = 50 * time.Millisecond
	sumIntervalPerHost = 500 * time.Microsecond
	// sumWarmUp is how long a replica is polled after its start before it reports sums, which
	// would lack the hosts that have not polled yet.
	sumWarmUp = 2 * maxPollInterval
	// departedIntervals is for how many intervals between polls the requests of a client that has
	// deregistered, or made another hub its primary one, are counted here. The client first polls the
	// other hub without reporting them, then with them, and that hub reports them to the replicas with
	// its own next poll. Until then nobody else counts them, and hosts would fill engines that seem
	// free. They may be counted twice meanwhile, which only diverts requests.
	departedIntervals = 3
)

// departedLoads are the last loads of a client that reports them to another host now.
type departedLoads struct {
	loads loads.Digest
	since time.Time
}

// loadSums are the loads of all clients. They are recomputed at intervals rather than for each
// poll.
type loadSums struct {
	at    time.Time
	total loads.Digest
	// byHost holds what each host had reported when the sum was computed. It is never modified
	// in place.
	byHost map[ident.Host]loads.Digest
	// entryHosts is the number of entry hosts.
	entryHosts int
}

// excluding returns the loads of all hosts but one, plus those outside the sum.
func (s loadSums) excluding(host ident.Host, outside loads.Digest) loads.Digest {
	rest := s.total.Subtract(s.byHost[host])
	if len(outside) == 0 {
		return rest
	}
	return loads.Sum(slices.Values([]loads.Digest{rest, outside}))
}

// sumLoads returns the sums, recomputed if they are too old. It then also drops the clients
// that have stopped polling.
func (t *transition) sumLoads() loadSums {
	interval := max(minSumInterval, time.Duration(t.seeded.clients.Len())*sumIntervalPerHost)
	if t.now.Sub(t.seeded.sums.at) < interval {
		return t.seeded.sums
	}
	next := loadSums{at: t.now, byHost: map[ident.Host]loads.Digest{}}
	for id, c := range t.seeded.clients.All() {
		if !c.isLive(t.now) {
			t.seeded.clients = t.seeded.clients.Without(id)
			continue
		}
		next.byHost[id] = c.loads
	}
	t.addDeparted(next.byHost)
	if t.settings.Serves {
		next.byHost[t.settings.ID] = t.requests.Loads(t.now)
	}
	next.entryHosts = len(t.liveEntryHosts())
	next.total = loads.Sum(maps.Values(next.byHost))
	t.seeded.sums = next
	return next
}

// keepDepartedLoads keeps counting the requests of a client that reports them to another host now.
func (t *transition) keepDepartedLoads(id ident.Host, c client) {
	if len(c.loads) > 0 {
		t.seeded.departed = t.seeded.departed.With(id, departedLoads{loads: c.loads, since: t.now})
	}
}

// addDeparted adds the loads of clients that have departed recently to those by host, unless a host
// reports its own here again.
func (t *transition) addDeparted(byHost map[ident.Host]loads.Digest) {
	for id, d := range t.seeded.departed.All() {
		if t.now.Sub(d.since) > departedIntervals*t.pollInterval() || len(byHost[id]) > 0 {
			t.seeded.departed = t.seeded.departed.Without(id)
			continue
		}
		byHost[id] = d.loads
	}
}
