// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"expvar"
	"net/http"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/oklog/run"

	"github.com/yardhall/yardhall/callers"
	"github.com/yardhall/yardhall/gateway"
	"github.com/yardhall/yardhall/peers"
)

// metrics are the process's counters, published by expvar. A process may hold
// several daemons in tests, so they stand in a map of their own.
type metrics struct {
	vars   *expvar.Map
	mu     sync.Mutex
	took   *hdrhistogram.Histogram
	first  *hdrhistogram.Histogram
	cached expvar.Int
	prompt expvar.Int
	// verdicts counts requests of the route table by outcome and code.
	verdicts *expvar.Map
	// irregular counts irregular bytes from workers by kind.
	irregular *expvar.Map
	// unmarkedRefusals counts refusals that do not say that the request was not run.
	unmarkedRefusals workerCounts
	// panics counts panics of handlers.
	panics   expvar.Int
	rollouts rolloutCounters
}

// Times are measured in microseconds from 1 to an hour.
const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 2
)

func newMetrics(d *Daemon) *metrics {
	m := &metrics{
		vars:     new(expvar.Map).Init(),
		took:     hdrhistogram.New(1, histogramMax, histogramDigits),
		first:    hdrhistogram.New(1, histogramMax, histogramDigits),
		verdicts: new(expvar.Map).Init(), irregular: new(expvar.Map).Init(),
	}
	m.vars.Set("core", expvar.Func(func() any { return d.loop.State().Counters() }))
	m.vars.Set("gateway", expvar.Func(func() any { return d.loop.State().Requests().Counters() }))
	m.vars.Set("gateway_requests", m.verdicts)
	m.vars.Set("irregular_answers", m.irregular)
	m.vars.Set("handler_panics", &m.panics)
	m.vars.Set("unmarked_refusals", expvar.Func(m.unmarkedRefusals.snapshot))
	m.vars.Set("worker_connections", expvar.Func(func() any { return d.workerConnections() }))
	m.vars.Set("reduced_events", d.loop.reduced)
	m.vars.Set("polls_superseded", expvar.Func(func() any { return d.loop.inbox.polls.superseded() }))
	m.vars.Set("loop_delay_us", expvar.Func(func() any { return d.loop.delays.summary() }))
	m.vars.Set("peers", expvar.Func(func() any { return peerCounters(d.counters) }))
	m.vars.Set("probe_bytes", expvar.Func(func() any { return d.targets.ProbeBytes.Load() }))
	m.vars.Set("mismatched_answers", expvar.Func(func() any { return d.targets.Mismatched.Load() }))
	m.vars.Set("malformed_answers", expvar.Func(func() any { return d.targets.Malformed.Load() }))
	m.vars.Set("resumed_streams", expvar.Func(func() any { return d.targets.Resumed.Load() }))
	m.vars.Set("cached_tokens", &m.cached)
	m.vars.Set("prompt_tokens", &m.prompt)
	m.vars.Set("request_time_us", expvar.Func(func() any { return m.summary(m.took) }))
	m.vars.Set("first_byte_us", expvar.Func(func() any { return m.summary(m.first) }))
	m.vars.Set("memory", expvar.Func(memory))
	m.publishRollouts(d)
	if disk := d.loop.disk; disk != nil {
		m.vars.Set("disk_failures", &disk.failures)
		m.vars.Set("disk_syncs", &disk.syncs)
		m.vars.Set("disk_writes", &disk.written)
	}
	return m
}

type peerCounts struct {
	BytesIn, BytesOut, Sent, Received, Dropped, Failed, Refused, Connected, Dialed     int64
	DialsFailed, HellosTimedOut, ReplacedUnanswered, ReplacedClosed, ReplacedRestarted int64
	Accepted, AcceptedFirst, Unused, Shed, Polls, PollReplies                          int64
}

func peerCounters(c *peers.Counters) peerCounts {
	return peerCounts{
		BytesIn: c.BytesIn.Load(), BytesOut: c.BytesOut.Load(), Sent: c.Sent.Load(), Received: c.Received.Load(),
		Dropped: c.Dropped.Load(), Failed: c.Failed.Load(), Refused: c.Refused.Load(), Connected: c.Connected.Load(), Dialed: c.Dialed.Load(),
		DialsFailed: c.DialsFailed.Load(), HellosTimedOut: c.HellosTimedOut.Load(), ReplacedUnanswered: c.ReplacedUnanswered.Load(),
		ReplacedClosed: c.ReplacedClosed.Load(), ReplacedRestarted: c.ReplacedRestarted.Load(), Accepted: c.Accepted.Load(),
		AcceptedFirst: c.AcceptedFirst.Load(), Unused: c.Unused.Load(), Shed: c.Shed.Load(), Polls: c.Polls.Load(), PollReplies: c.PollReplies.Load(),
	}
}

// connectionCounts tells how connections to workers came about.
type connectionCounts struct{ Dialed, Reused int64 }

func (d *Daemon) workerConnections() connectionCounts {
	if d.workers == nil {
		return connectionCounts{}
	}
	return connectionCounts{Dialed: d.workers.Dialed.Load(), Reused: d.workers.Reused.Load()}
}

type memoryUse struct {
	HeapBytes  uint64
	Goroutines int
}

func memory() any {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return memoryUse{HeapBytes: m.HeapAlloc, Goroutines: runtime.NumGoroutine()}
}

type timeSummary struct {
	Count, P50, P99, P999, Max int64
}

func (m *metrics) summary(h *hdrhistogram.Histogram) timeSummary {
	m.mu.Lock()
	defer m.mu.Unlock()
	return summaryOf(h)
}

// summaryOf reads a histogram of microseconds; its owner holds the lock.
func summaryOf(h *hdrhistogram.Histogram) timeSummary {
	return timeSummary{
		Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P99: h.ValueAtQuantile(99),
		P999: h.ValueAtQuantile(99.9), Max: h.Max(),
	}
}

func (m *metrics) observe(o callers.Observation) {
	m.cached.Add(int64(o.CachedTokens))
	m.prompt.Add(int64(o.PromptTokens))
	m.mu.Lock()
	defer m.mu.Unlock()
	// clampMicros keeps values within the histogram's range, the only error there is.
	_ = m.took.RecordValue(clampMicros(o.Duration))
	if o.TimeToFirstByte > 0 {
		_ = m.first.RecordValue(clampMicros(o.TimeToFirstByte))
	}
}

// observeRequest counts a request of the route table.
func (m *metrics) observeRequest(o gateway.Observation) {
	m.verdicts.Add(string(o.Verdict.Outcome)+"/"+string(o.Verdict.Code), 1)
	m.rollouts.observe(o)
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.took.RecordValue(clampMicros(o.Duration))
	if o.TimeToFirstByte > 0 {
		_ = m.first.RecordValue(clampMicros(o.TimeToFirstByte))
	}
}

func clampMicros(d time.Duration) int64 {
	return min(max(d.Microseconds(), 1), histogramMax)
}

// metricsPath is where the metrics port serves the counters.
const metricsPath = "/metrics"

// addMetrics opens the port at which counters and histograms are read.
func (d *Daemon) addMetrics(g *run.Group) error {
	address := d.settings.Metrics.Listen
	if address == "" {
		return nil
	}
	l, err := listenTCP(address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+metricsPath, d.metrics.handler())
	d.addHTTP(g, l, plainServer(mux))
	return nil
}

// handler serves the counters as JSON.
func (m *metrics) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(m.vars.String()))
	})
}
