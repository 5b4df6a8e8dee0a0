// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package popularity

import (
	"iter"
	"time"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/table"
)

const (
	// reporterLifetime is how long a host that reported prompts is sent frequent prefixes.
	reporterLifetime = 10 * time.Second
	// newsInterval is the least time between two messages with frequent prefixes, refreshInterval that between two without news.
	newsInterval    = 100 * time.Millisecond
	refreshInterval = 500 * time.Millisecond
)

// Collector counts the prompts that hosts report. It is immutable; the zero Collector has counted none.
type Collector struct {
	sketch    Sketch
	reporters table.Table[ident.Host, reporter]
	// pools are the sums of what reporters said of their pools, as of the last CleanedUp. They are not modified in place.
	pools Counts
	// sent are the counts last sent to all reporters, at sentAt.
	sent   Counts
	sentAt time.Time
}

// reporter is a host that reports prompts.
type reporter struct {
	at time.Time
	// numbered is set if its reports have numbers.
	numbered bool
	pools    Counts
}

// WithReport returns the collector with the prompts that a host reports.
func (k Collector) WithReport(from ident.Host, r Report, now time.Time) Collector {
	if !k.reporters.Has(from) {
		k.pools = k.pools.Plus(r.Pools)
	}
	k.sketch = k.sketch.WithReport(r.Prompts, now)
	k.reporters = k.reporters.With(from, reporter{now, r.Number != 0, r.Pools})
	return k
}

// Pools returns the prompts to each pool within decayTime.
func (k Collector) Pools() Counts {
	out := make(Counts, len(k.pools))
	for tag, perMinute := range k.pools {
		out[tag] = perMinute * decayTime.Minutes()
	}
	return out
}

// CountsOf returns the counts of the prefixes of a report.
func (k Collector) CountsOf(prompts Counts, now time.Time) Counts {
	out := make(Counts, len(prompts))
	for tag := range prompts {
		if d, ok := k.sketch.counts.Get(tag); ok {
			out[tag] = d.at(now)
		}
	}
	return out
}

// Top returns the counts of the most frequent prefixes.
func (k Collector) Top(now time.Time) Counts { return k.sketch.Top(now) }

// HasReporters reports whether hosts report prompts here.
func (k Collector) HasReporters() bool { return k.reporters.Len() > 0 }

// HasReportersBut reports whether any other host than one has reported here lately.
func (k Collector) HasReportersBut(self ident.Host, now time.Time) bool {
	for h, r := range k.reporters.All() {
		if h != self && now.Sub(r.at) <= 2*keepAliveInterval {
			return true
		}
	}
	return false
}

// Reporters yields the hosts that report prompts here, and whether their reports have numbers.
func (k Collector) Reporters() iter.Seq2[ident.Host, bool] {
	return func(yield func(ident.Host, bool) bool) {
		for h, r := range k.reporters.All() {
			if !yield(h, r.numbered) {
				return
			}
		}
	}
}

// Reports tells whether a host reports prompts here, and whether its reports have numbers.
func (k Collector) Reports(h ident.Host) (reports, numbered bool) {
	r, ok := k.reporters.Get(h)
	return ok, r.numbered
}

// CleanedUp returns the collector without what has decayed and without hosts that no longer report.
func (k Collector) CleanedUp(now time.Time) Collector {
	k.sketch = k.sketch.Cleaned(now)
	k.pools = Counts{}
	for h, r := range k.reporters.All() {
		if now.Sub(r.at) > reporterLifetime {
			k.reporters = k.reporters.Without(h)
			continue
		}
		for tag, n := range r.pools {
			k.pools[tag] += n
		}
	}
	return k
}

// HasNews reports whether one of some prefixes has become much more frequent since counts were last sent to all reporters.
func (k Collector) HasNews(prompts Counts, now time.Time) bool {
	return now.Sub(k.sentAt) >= newsInterval && k.CountsOf(prompts, now).IsNews(k.sent)
}

// News returns the counts to send to all reporters now; ok is false if there is nothing new.
func (k Collector) News(now time.Time) (next Collector, counts Counts, ok bool) {
	if now.Sub(k.sentAt) < newsInterval {
		return k, nil, false
	}
	counts = k.Top(now)
	isNews := counts.IsNews(k.sent)
	if !isNews && (now.Sub(k.sentAt) < refreshInterval || !counts.IsNews(nil)) {
		k.sent = k.sent.Below(counts)
		return k, nil, false
	}
	k.sent, k.sentAt = counts, now
	return k, counts, true
}
