// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"maps"
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/hubs"
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
	// free.
	departedIntervals = 3
)

// departedLoads are the last loads of a client that reports them to another host now.
type departedLoads struct {
	loads loads.Digest
	since time.Time
	// host is the client, group the hosts that it counted as a hub.
	host  hubs.Host
	group []hubs.Host
}

// loadSums are the loads of all clients. They are recomputed at intervals rather than for each
// poll. They are never modified in place.
type loadSums struct {
	at    time.Time
	total loads.Digest
	// byHost holds the part of the sum that each client has reported.
	byHost map[ident.Host]loads.Digest
	// overlaps holds, by client, the loads of its hosts that others have reported since and that are in the sum
	// in place of its own.
	overlaps map[ident.Host][]loads.Digest
	// reported is the number of entry hosts whose loads are in the sum, reportedBy that of those which each client
	// counts itself.
	reported   int
	reportedBy map[ident.Host]int
	// entryHosts is the number of entry hosts.
	entryHosts int
}

// excluding returns the loads of all hosts that a client does not count itself, plus those outside the sum.
func (s loadSums) excluding(host ident.Host, outside loads.Digest) loads.Digest {
	rest := s.total.Subtract(s.byHost[host])
	for _, d := range s.overlaps[host] {
		rest = rest.Subtract(d)
	}
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
	next := loadSums{at: t.now, byHost: map[ident.Host]loads.Digest{}, overlaps: map[ident.Host][]loads.Digest{}}
	for id, c := range t.seeded.clients.All() {
		if !c.isLive(t.now) {
			t.seeded.clients = t.seeded.clients.Without(id)
		}
	}
	reports := t.loadReports()
	reporters := newestReporters(reports)
	next.reported, next.reportedBy = len(reporters), map[ident.Host]int{}
	for id, r := range reports {
		counted := 0
		elsewhere := map[ident.Host]int{}
		for _, h := range r.hosts {
			if reporter := reporters[h]; reporter == id {
				counted++
			} else {
				elsewhere[reporter]++
			}
		}
		next.byHost[id], next.reportedBy[id] = r.part(counted), len(r.hosts)
		for reporter, n := range elsewhere {
			next.overlaps[id] = append(next.overlaps[id], reports[reporter].part(n))
		}
	}
	if t.settings.Serves {
		next.byHost[t.settings.ID] = t.requests.Loads(t.now)
	}
	next.entryHosts = len(t.liveEntryHosts())
	next.total = loads.Sum(maps.Values(next.byHost))
	t.seeded.sums = next
	return next
}

// loadReport is what a client reported last of its own requests and, if it is a hub, of those of its group.
type loadReport struct {
	loads loads.Digest
	hosts []ident.Host
	at    time.Time
}

// loadReports returns the last reports of the clients and of those that have departed recently.
func (t *transition) loadReports() map[ident.Host]loadReport {
	reports := map[ident.Host]loadReport{}
	for id, c := range t.seeded.clients.All() {
		if t.settings.IsReplica() || c.primary {
			reports[id] = loadReport{c.loads, hostsOf(id, c.group), c.lastPoll}
		}
	}
	t.forgetDepartures()
	for id, d := range t.seeded.departed.All() {
		if !t.hasExpired(d) {
			reports[id] = loadReport{d.loads, hostsOf(id, d.group), d.since}
		}
	}
	return reports
}

// forgetDepartures removes the departed clients whose loads are not counted here any more.
func (t *transition) forgetDepartures() {
	for id, d := range t.seeded.departed.All() {
		c, ok := t.seeded.clients.Get(id)
		isReported := ok && (t.settings.IsReplica() || c.primary)
		isOutside := t.settings.IsReplica() || t.seeded.hub.outsideLoadsAt.After(d.since.Add(departedIntervals*t.pollInterval()))
		if isReported || t.hasExpired(d) && isOutside || t.now.Sub(d.since) > clientLifetime {
			t.seeded.departed = t.seeded.departed.Without(id)
		}
	}
}

// hasExpired reports whether a departed client is no longer reported as counted here.
func (t *transition) hasExpired(d departedLoads) bool {
	return t.now.Sub(d.since) > departedIntervals*t.pollInterval()
}

// loadsOutside returns the requests of the hosts that this hub does not count. These include departed clients that
// it has just stopped reporting, until replicas have replied to a poll without them.
func (t *transition) loadsOutside() loads.Digest {
	t.forgetDepartures()
	outside := []loads.Digest{t.seeded.hub.outsideLoads}
	for _, d := range t.seeded.departed.All() {
		if t.hasExpired(d) {
			outside = append(outside, d.loads)
		}
	}
	if len(outside) == 1 {
		return outside[0]
	}
	return loads.Sum(slices.Values(outside))
}

// hostsOf returns a client and the other hosts of its group.
func hostsOf(id ident.Host, group []hubs.Host) []ident.Host {
	out := []ident.Host{id}
	for _, h := range group {
		if h.Host != id {
			out = append(out, h.Host)
		}
	}
	return out
}

// part returns the loads of some of the hosts of a report.
func (r loadReport) part(hosts int) loads.Digest {
	if hosts == len(r.hosts) {
		return r.loads
	}
	return r.loads.Scaled(float64(hosts) / float64(len(r.hosts)))
}

// newestReporters returns which client reported each host last; the host counts only there. Otherwise the clients of a
// lost hub would be counted twice until it expires, and so would hosts that polled replicas while their hubs were
// lost: the mean, and with it the bound on loads, would seem higher than they are. Hosts that no other client
// reports are still counted, as their requests do not end with their hub.
func newestReporters(reports map[ident.Host]loadReport) map[ident.Host]ident.Host {
	reporters := map[ident.Host]ident.Host{}
	for id, r := range reports {
		for _, h := range r.hosts {
			current, ok := reporters[h]
			newest := reports[current].at
			if !ok || r.at.After(newest) || r.at.Equal(newest) && id < current {
				reporters[h] = id
			}
		}
	}
	return reporters
}

// withLoads adds to a reply the loads of the hosts that a client does not count itself, if it asked for them.
func (t *transition) withLoads(r PollReply, to ident.Host) PollReply {
	if !r.Summed {
		return r
	}
	sums := t.sumLoads()
	r.Loads = sums.excluding(to, t.loadsOutside())
	if t.settings.IsReplica() {
		r.LoadsOf = sums.reported - sums.reportedBy[to]
	}
	return r
}

// keepDepartedLoads keeps counting the requests of a client that reports them to another host now.
func (t *transition) keepDepartedLoads(id ident.Host, c client) {
	if len(c.loads) > 0 {
		t.seeded.departed = t.seeded.departed.With(id, departedLoads{loads: c.loads, since: t.now, host: c.host, group: c.group})
	}
}
