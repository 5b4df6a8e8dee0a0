// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package popularity

import (
	"math"
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/table"
)

// A Reporter decides to which collectors a host reports the prefixes of its prompts, and how far it can rely on their counts.
//
// Each prefix has one collector, which is the same for all hosts: the first hub by rendezvous hash of the prefix, or the first replica in a fleet without
// hubs. What it does not acknowledge in time is reported again to a substitute, the first replica: hubs and replicas run on different
// machines and are upgraded apart. While a collector has only just become silent, it may be slow, and then both get all reports, so that either has
// complete counts. After that the silent one gets only probes until it acknowledges one. It is then settled once all hosts have found it.
//
// Inputs: the collectors, when reports were sent and acknowledged, and the prompts with their tags.
const (
	// reportInterval is the least time between two reports to a collector.
	reportInterval = 100 * time.Millisecond
	// minAckTimeout is the least time after which a report is sent to another collector; with slow messages it is ackTimeoutFactor times the
	// longest round trip of late.
	minAckTimeout    = 40 * time.Millisecond
	ackTimeoutFactor = 2
	// reportLifetime is how long a report may wait for its acknowledgement.
	reportLifetime = 3 * time.Second
	// slowTime is how long a collector may be silent because it is slow.
	slowTime = time.Second
	// probeInterval is the time between two reports without prompts to a silent collector, keepAliveInterval that to others: all collectors must know
	// all hosts, to which they send frequent prefixes.
	probeInterval     = 500 * time.Millisecond
	keepAliveInterval = 3 * time.Second
	// settleTime is how long after a silence a collector may lack hosts.
	settleTime = 700 * time.Millisecond
	// roundTripWeight is the weight of a round trip that is shorter than the estimate.
	roundTripWeight = 1.0 / 8
	// idleTime is how long after its last prompt a host tells collectors that it is there.
	idleTime = time.Minute
	// rateTime is the time constant of a host's own rate of prompts.
	rateTime = 2 * time.Second
	// minCounted is the least fraction of rateTime's weight from which a rate is estimated.
	minCounted = 0.1
	// maxPending bounds the prefixes that wait for a report to one collector.
	maxPending = 256
)

// Report is what a host sends to a collector.
type Report struct {
	To ident.Host
	// Number identifies the report in its acknowledgement. It is 0 in reports of an earlier version, which count the prompts to pools among
	// Prompts and are not acknowledged.
	Number uint64
	// Prompts are numbers of prompts by prefix, none in a probe; Pools are the prompts a minute to each pool.
	Prompts, Pools Counts
}

// Reporter is the reporting side of a host. It is immutable; the zero Reporter has reported nothing.
type Reporter struct {
	// number is that of the last report. promptedAt is the time of the last prompt, begunAt that of the first one after none for idleTime.
	number     uint64
	promptedAt time.Time
	begunAt    time.Time
	// rates are decaying counts of this host's prompts by pool, earlierRates those without the latest prompts: as reports follow prompts, counts
	// with these would be too high on average.
	rates, earlierRates table.Table[Tag, decaying]
	peers               table.Table[ident.Host, collectorPeer]
	// awaited are the reports that were not acknowledged yet.
	awaited table.Table[uint64, awaitedReport]
}

// collectorPeer is what a host knows of a collector.
type collectorPeer struct {
	// pending are the prompts that are to be reported, the first of which have waited since pendingSince. They are not modified in place.
	pending      Counts
	pendingSince time.Time
	// reportedAt is when a report was last sent, promptsAt when one with prompts was.
	reportedAt time.Time
	promptsAt  time.Time
	// roundTrip is the longest round trip of late.
	roundTrip time.Duration
	// silentSince is when an acknowledgement was found missing, zero after the next one; ackedAt is when there last was one.
	silentSince time.Time
	ackedAt     time.Time
	// liveSince is when its last silence ended.
	liveSince time.Time
}

func (p collectorPeer) isSilent() bool { return !p.silentSince.IsZero() }

// isSettled reports whether the collector counts the prompts of all hosts.
func (p collectorPeer) isSettled(now time.Time) bool {
	return !p.isSilent() && now.Sub(p.liveSince) >= settleTime
}

func (p collectorPeer) ackTimeout() time.Duration {
	return max(minAckTimeout, ackTimeoutFactor*p.roundTrip)
}

type awaitedReport struct {
	to     ident.Host
	sentAt time.Time
	// prompts have waited since a time; nil once they are to be reported to another collector.
	prompts Counts
	since   time.Time
	// timedOut is set once the acknowledgement was found missing.
	timedOut bool
}

// WithNumber returns the reporter of a process whose reports have higher numbers than n.
func (r Reporter) WithNumber(n uint64) Reporter {
	r.number = max(r.number, n)
	return r
}

// WithPrompts returns the reporter with prompts to report, by prefix and by pool.
func (r Reporter) WithPrompts(prefixes, pools Counts, c Collectors, now time.Time) Reporter {
	for tag, n := range prefixes {
		for _, to := range r.collectorsOf(tag, c, now) {
			r = r.withPending(to, tag, n, now)
		}
	}
	if len(prefixes) > 0 {
		if now.Sub(r.promptedAt) > idleTime {
			r.begunAt = now
		}
		r.promptedAt = now
	}
	for tag, n := range pools {
		rate, _ := r.rates.Get(tag)
		r.earlierRates = r.earlierRates.With(tag, rate)
		r.rates = r.rates.With(tag, decaying{rate.after(now, rateTime) + n, now})
	}
	return r
}

func (r Reporter) withPending(to ident.Host, tag Tag, n float64, since time.Time) Reporter {
	p, _ := r.peers.Get(to)
	if len(p.pending) < maxPending {
		if len(p.pending) == 0 || since.Before(p.pendingSince) {
			p.pendingSince = since
		}
		p.pending = p.pending.With(tag, n)
		r.peers = r.peers.With(to, p)
	}
	return r
}

// collectorsOf returns the collectors to which prompts with a prefix are reported.
func (r Reporter) collectorsOf(tag Tag, c Collectors, now time.Time) []ident.Host {
	usual, ok := first(tag, c.usual())
	if !ok {
		return nil
	}
	p, _ := r.peers.Get(usual)
	if p.isSettled(now) {
		return []ident.Host{usual}
	}
	substitute, ok := r.substitute(tag, usual, c)
	switch {
	case !ok:
		return []ident.Host{usual}
	case p.isSilent() && now.Sub(p.silentSince) > slowTime:
		return []ident.Host{substitute}
	}
	return []ident.Host{usual, substitute}
}

// substitute returns the collector in place of another one: a replica that acknowledges reports, or else such a hub.
func (r Reporter) substitute(tag Tag, other ident.Host, c Collectors) (ident.Host, bool) {
	for _, group := range [][]ident.Host{c.Replicas, c.Hubs} {
		usable := slices.DeleteFunc(slices.Clone(group), func(h ident.Host) bool { return h == other || r.IsSilent(h) })
		if to, ok := first(tag, usable); ok {
			return to, true
		}
	}
	return "", false
}

// IsSilent reports whether a collector has left a report without acknowledgement.
func (r Reporter) IsSilent(h ident.Host) bool {
	p, _ := r.peers.Get(h)
	return p.isSilent()
}

// Due returns the reports to send now.
func (r Reporter) Due(c Collectors, now time.Time) (Reporter, []Report) {
	r = r.withoutRemoved(c).withTimeouts(c, now)
	var out []Report
	pools := r.ratesAMinute(now)
	for _, to := range c.All() {
		p, _ := r.peers.Get(to)
		if !p.isDue(now) || len(p.pending) == 0 && now.Sub(r.promptedAt) > idleTime {
			continue
		}
		r.number++
		out = append(out, Report{To: to, Number: r.number, Prompts: p.pending, Pools: pools})
		r.awaited = r.awaited.With(r.number, awaitedReport{to: to, sentAt: now, prompts: p.pending, since: p.pendingSince})
		if len(p.pending) > 0 {
			p.promptsAt = now
		}
		p.pending, p.reportedAt = nil, now
		r.peers = r.peers.With(to, p)
	}
	return r, out
}

// isDue reports whether a report is to be sent now.
func (p collectorPeer) isDue(now time.Time) bool {
	interval := keepAliveInterval
	switch {
	case len(p.pending) > 0:
		interval = reportInterval
	case p.isSilent():
		interval = probeInterval
	}
	return now.Sub(p.reportedAt) >= interval
}

// ratesAMinute returns the prompts a minute to each pool.
func (r Reporter) ratesAMinute(now time.Time) Counts {
	out := Counts{}
	counted := 1 - math.Exp(-now.Sub(r.begunAt).Seconds()/rateTime.Seconds())
	for tag, rate := range r.earlierRates.All() {
		if n := rate.after(now, rateTime) / (max(minCounted, counted) * rateTime.Minutes()); n >= 1 {
			out[tag] = n
		}
	}
	return out
}

// withoutRemoved forgets the hosts that are no collectors any more.
func (r Reporter) withoutRemoved(c Collectors) Reporter {
	all := c.All()
	for h := range r.peers.All() {
		if !slices.Contains(all, h) {
			r.peers = r.peers.Without(h)
		}
	}
	return r
}

// Delay returns how long the fleet's counts may lack what was reported: the longest round trip of late to a collector that counts prompts of this host, or
// the time for which a prompt has waited.
func (r Reporter) Delay(now time.Time) time.Duration {
	var delay time.Duration
	for _, p := range r.peers.All() {
		if !p.isSilent() && now.Sub(p.promptsAt) <= keepAliveInterval {
			delay = max(delay, p.roundTrip)
		}
	}
	for _, a := range r.awaited.All() {
		if len(a.prompts) > 0 {
			delay = max(delay, now.Sub(a.since))
		}
	}
	return delay
}

// LastAcknowledgement returns when a collector last acknowledged a report; zero if it never did.
func (r Reporter) LastAcknowledgement(h ident.Host) time.Time {
	p, _ := r.peers.Get(h)
	return p.ackedAt
}
