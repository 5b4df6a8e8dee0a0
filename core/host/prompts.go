// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"fmt"
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/popularity"
	"github.com/yardhall/yardhall/core/requests"
)

// An engine whose prompts have a prefix that has just become popular is full within fractions of a second, long before loads
// show it. Hosts therefore report the prefixes of their prompts to collectors (package popularity), which acknowledge each report with their counts
// of its prefixes, and tell all hosts at once of a prefix that has become more frequent. Hubs and replicas are collectors
// (collectors.go).
//
// Hosts of an earlier version report all their prompts to their primary hub or to one replica, and are sent its most frequent prefixes; they are sent no
// reports.

// collectorCleanupInterval is the time between two removals of what a collector no longer counts.
const collectorCleanupInterval = 100 * time.Millisecond

type (
	// PromptsSent reports packed counts of the prompts that the host began since the last report to the receiver. Earlier versions, whose
	// reports have no Number, count the prompts to each pool among them.
	PromptsSent struct {
		Counts []byte
		// Number identifies the report in its acknowledgement. Pools are the packed prompts a minute that the host begins to each pool.
		Number uint64
		Pools  []byte
	}
	// FrequentPrefixes are packed counts of the fleet's latest prompts by prefix: those of the prefixes of a report, or the highest ones.
	FrequentPrefixes struct {
		Counts []byte
		// Number is that of the report which is acknowledged; 0 if there is none. Pools are the packed counts of the prompts to each pool; an
		// earlier version receives them among Counts.
		Number uint64
		Pools  []byte
	}
)

func (PromptsSent) message()      {}
func (FrequentPrefixes) message() {}

// promptState is what a process of a seeded fleet knows of the prompts of others.
type promptState struct {
	collectors popularity.Collectors
	reporter   popularity.Reporter
	collector  popularity.Collector
	// cleanedAt is when the collector was last cleaned up.
	cleanedAt time.Time
}

// tickPrompts reports prompts to the collectors, and frequent prefixes to the hosts that report prompts here.
func (t *transition) tickPrompts() {
	t.reportPrompts()
	p := &t.seeded.prompts
	if !t.repliesToPolls() || !p.collector.HasReporters() {
		return
	}
	if t.now.Sub(p.cleanedAt) >= collectorCleanupInterval {
		p.collector, p.cleanedAt = p.collector.CleanedUp(t.now), t.now
	}
	t.sendFrequentPrefixes()
}

// reportPrompts reports the prompts that this host began.
func (t *transition) reportPrompts() {
	p := &t.seeded.prompts
	next, begun := t.requests.TakePrompts()
	t.requests = next
	t.updateCollectors()
	if p.collectors.Len() == 0 {
		return
	}
	before := p.reporter
	reporter := before.WithNumber(t.settings.Incarnation<<pollNumberBits).WithPrompts(begun.Prefixes, begun.Pools, p.collectors, t.now)
	reporter, reports := reporter.Due(p.collectors, t.now)
	p.reporter = reporter
	t.logCollectors(before)
	for _, r := range reports {
		if r.To == t.settings.ID {
			t.collectOwnPrompts(r)
			continue
		}
		t.send(r.To, PromptsSent{Counts: popularity.Pack(r.Prompts), Number: r.Number, Pools: popularity.Pack(r.Pools)})
	}
	t.updateCoverage()
}

// updateCoverage lets requests know which prefixes are counted, and for how long counts may lack what hosts reported.
func (t *transition) updateCoverage() {
	p := &t.seeded.prompts
	t.requests = t.requests.WithCoverage(p.reporter.Coverage(p.collectors, t.now), p.reporter.Delay(t.now))
}

// logCollectors logs the collectors that have become silent, or acknowledge reports again.
func (t *transition) logCollectors(before popularity.Reporter) {
	p := &t.seeded.prompts
	for _, h := range p.collectors.All() {
		if isSilent := p.reporter.IsSilent(h); isSilent != before.IsSilent(h) {
			t.logCollector(h, isSilent)
		}
	}
}

func (t *transition) logCollector(h ident.Host, isSilent bool) {
	reporter := t.seeded.prompts.reporter
	detail := fmt.Sprintf("silent=%t", isSilent)
	if at := reporter.LastAcknowledgement(h); !at.IsZero() {
		detail += fmt.Sprintf(" last_ack=%s", t.now.Sub(at).Round(time.Millisecond))
	}
	t.log(LogPromptCollector, string(h), detail)
}

// handlePromptsSent counts the prompts that a host reports, and acknowledges the report.
func (t *transition) handlePromptsSent(from ident.Host, m PromptsSent) {
	r := popularity.Report{Number: m.Number, Prompts: popularity.Unpack(m.Counts), Pools: popularity.Unpack(m.Pools)}
	if !t.repliesToPolls() {
		return
	}
	t.collectPrompts(from, r)
}

// collectOwnPrompts counts the prompts that this host reports to itself, unless nobody else reports any: its own ones are no sample of the fleet's.
func (t *transition) collectOwnPrompts(r popularity.Report) {
	if t.repliesToPolls() && t.seeded.prompts.collector.HasReportersBut(t.settings.ID, t.now) {
		t.collectPrompts(t.settings.ID, r)
	}
}

// collectPrompts counts the prompts of a report and replies to it.
func (t *transition) collectPrompts(from ident.Host, r popularity.Report) {
	p := &t.seeded.prompts
	p.collector = p.collector.WithReport(from, r, t.now)
	if r.Number != 0 {
		t.sendPromptCounts(from, r.Number, p.collector.CountsOf(r.Prompts, t.now))
	}
	if p.collector.HasNews(r.Prompts, t.now) {
		t.sendFrequentPrefixes()
	}
}

// sendPromptCounts sends counts of prefixes to a host that numbers its reports.
func (t *transition) sendPromptCounts(to ident.Host, number uint64, counts popularity.Counts) {
	pools := t.seeded.prompts.collector.Pools()
	if to == t.settings.ID {
		t.applyPromptCounts(to, number, requests.Prompts{Prefixes: counts, Pools: pools})
		return
	}
	t.send(to, FrequentPrefixes{Counts: popularity.Pack(counts), Number: number, Pools: popularity.Pack(pools)})
}

// sendFrequentPrefixes sends the most frequent prefixes to the hosts that report prompts here, if one has become more frequent.
func (t *transition) sendFrequentPrefixes() {
	p := &t.seeded.prompts
	next, counts, ok := p.collector.News(t.now)
	p.collector = next
	if !ok {
		return
	}
	for h, numbered := range p.collector.Reporters() {
		if numbered {
			t.sendPromptCounts(h, 0, counts)
		} else {
			t.send(h, FrequentPrefixes{Counts: popularity.Pack(counts.Plus(p.collector.Pools()))})
		}
	}
}

// handleFrequentPrefixes applies the counts that a collector returned.
func (t *transition) handleFrequentPrefixes(from ident.Host, m FrequentPrefixes) {
	t.applyPromptCounts(from, m.Number, requests.Prompts{Prefixes: popularity.Unpack(m.Counts), Pools: popularity.Unpack(m.Pools)})
}

// applyPromptCounts lets requests be decided by the counts of a collector, which acknowledge a report if number is not 0.
func (t *transition) applyPromptCounts(from ident.Host, number uint64, counts requests.Prompts) {
	p := &t.seeded.prompts
	wasSilent := p.reporter.IsSilent(from)
	p.reporter = p.reporter.WithAcknowledgement(from, number, t.now)
	if wasSilent && !p.reporter.IsSilent(from) {
		t.logCollector(from, false)
	}
	t.requests = t.requests.WithPromptCounts(counts, from, t.now)
	t.updateCoverage()
}

// frequentPrefixesFor returns the packed counts for the reply to a host of an earlier version that reports prompts here.
func (t *transition) frequentPrefixesFor(to ident.Host) []byte {
	collector := t.seeded.prompts.collector
	if reports, numbered := collector.Reports(to); !reports || numbered {
		return nil
	}
	return popularity.Pack(collector.Top(t.now).Plus(collector.Pools()))
}
