// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-logr/logr"

	"github.com/yardhall/yardhall/core/host"
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
	if d.worst >= shortDelay {
		d.log.Info("processor is short", "tick_delay_ms", millis(d.worst), "over_ms", millis(now.Sub(d.lineAt)),
			"events_waiting", waiting, "beats", c.Heartbeats-d.before.Heartbeats, "beats_named", c.HeartbeatsRedirected-d.before.HeartbeatsRedirected,
			"beats_declined", c.HeartbeatsDeclined-d.before.HeartbeatsDeclined)
	}
	d.worst, d.lineAt, d.before = 0, now, c
	return late
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
