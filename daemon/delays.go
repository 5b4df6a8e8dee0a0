// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-logr/logr"

	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/peers"
)

const (
	// shortDelay is how late a tick must be for the processor to count as short: four
	// ticks, a quarter of the shortest election time.
	shortDelay = 200 * time.Millisecond
	// shortLines is the least time between two lines on that.
	shortLines = time.Second
)

// delays watches how late the ticks of the loop are. All that this process does
// shares its processor with them, so a late tick is the sign that the processor is
// short, or that the process was held up.
type delays struct {
	log  logr.Logger
	last time.Time
	// worst is the latest tick since the line at lineAt, which showed the counters before.
	worst  time.Duration
	lineAt time.Time
	before host.Counters
	// peers are the counters of connections with other hosts, peersBefore those that the last line
	// showed; nil counts none.
	peers       *peers.Counters
	peersBefore peerCounts

	mu   sync.Mutex
	seen *hdrhistogram.Histogram
}

func newDelays(log logr.Logger) *delays {
	return &delays{log: log, seen: hdrhistogram.New(1, histogramMax, histogramDigits)}
}

// ticked takes note of a tick at now with a number of events waiting, says what the
// processor was used for where it is short, and returns how late the tick is.
func (d *delays) ticked(now time.Time, waiting int, c host.Counters) time.Duration {
	late := max(0, now.Sub(d.last)-tickInterval)
	if d.last.IsZero() {
		late = 0
	}
	d.last = now
	d.record(late)
	d.worst = max(d.worst, late)
	if now.Sub(d.lineAt) < shortLines {
		return late
	}
	var p peerCounts
	if d.peers != nil {
		p = peerCounters(d.peers)
	}
	if d.worst >= shortDelay {
		d.logShort(now, waiting, c, p)
	}
	d.worst, d.lineAt, d.before, d.peersBefore = 0, now, c, p
	return late
}

// logShort writes what the process has done since the last line.
func (d *delays) logShort(now time.Time, waiting int, c host.Counters, p peerCounts) {
	b := d.peersBefore
	d.log.Info("processor is short", "tick_delay_ms", millis(d.worst), "over_ms", millis(now.Sub(d.lineAt)),
		"events_waiting", waiting, "beats", c.Heartbeats-d.before.Heartbeats, "beats_named", c.HeartbeatsRedirected-d.before.HeartbeatsRedirected,
		"beats_declined", c.HeartbeatsDeclined-d.before.HeartbeatsDeclined,
		"received", p.Received-b.Received, "polls", p.Polls-b.Polls, "accepted", p.Accepted-b.Accepted, "accepted_first", p.AcceptedFirst-b.AcceptedFirst,
		"unused", p.Unused-b.Unused, "shed", p.Shed-b.Shed, "dialed", p.Dialed-b.Dialed, "dials_failed", p.DialsFailed-b.DialsFailed, "hellos_timed_out", p.HellosTimedOut-b.HellosTimedOut,
		"replaced_unanswered", p.ReplacedUnanswered-b.ReplacedUnanswered, "replaced_closed", p.ReplacedClosed-b.ReplacedClosed)
}

func (d *delays) record(late time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.seen.RecordValue(clampMicros(late))
}

func (d *delays) summary() timeSummary {
	d.mu.Lock()
	defer d.mu.Unlock()
	return summaryOf(d.seen)
}
