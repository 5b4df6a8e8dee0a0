// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package site_test

import (
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/callers"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/site"
)

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}

func record(h *hdrhistogram.Histogram, begun time.Time) {
	_ = h.RecordValue(max(1, time.Since(begun).Microseconds()))
}

func report(b *testing.B, name string, h *hdrhistogram.Histogram) {
	b.ReportMetric(float64(h.ValueAtQuantile(50)), name+"-p50-us")
	b.ReportMetric(float64(h.ValueAtQuantile(99)), name+"-p99-us")
}

// BenchmarkAddedLatency compares a plain call to its worker with the same call
// through a host, and with one that must not run twice, in turn.
func BenchmarkAddedLatency(b *testing.B) {
	s := start(b, site.Builder{Net: 41})
	direct, through, once := histogram(), histogram(), histogram()
	post := func(url string, headers ...string) {
		req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("x"))
		require.NoError(b, err)
		req.Header.Set("Authorization", "Bearer "+s.AccountKey)
		for i := 0; i < len(headers); i += 2 {
			req.Header.Set(headers[i], headers[i+1])
		}
		resp, err := http.DefaultClient.Do(req)
		require.NoError(b, err)
		require.Equal(b, http.StatusOK, resp.StatusCode)
		_ = resp.Body.Close()
	}
	i := 0
	for b.Loop() {
		i++
		begun := time.Now()
		post("http://" + s.Workers[i%3].Address() + "/slots")
		record(direct, begun)
		begun = time.Now()
		post(s.URL(i%len(s.Hosts)) + "/services/floor/slots")
		record(through, begun)
		begun = time.Now()
		post(s.URL(i%len(s.Hosts))+"/services/floor/once/wave", callers.HeaderIdempotencyKey, uuid.Must(uuid.NewV7()).String())
		record(once, begun)
	}
	report(b, "direct", direct)
	report(b, "through", through)
	report(b, "once", once)
}

// BenchmarkThroughputOneCore sends inference through one host, everything in
// this process on one core: callers, host and engine.
func BenchmarkThroughputOneCore(b *testing.B) {
	s := start(b, site.Builder{Net: 42, Zones: 1, HostsPerZone: 1, EnginesPerZone: 4})
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var wg sync.WaitGroup
	work := make(chan int)
	for range 32 {
		wg.Go(func() {
			for i := range work {
				call(s, 0, "/v1/chat/completions", strings.Replace(streamBody(fmt.Sprint(i%200), 1), "true", "false", 1))
			}
		})
	}
	n := 0
	for b.Loop() {
		n++
		work <- n
	}
	close(work)
	wg.Wait()
	b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "requests/s")
}

// BenchmarkInForce measures the time from the answer to a change until every
// host has it in force.
func BenchmarkInForce(b *testing.B) {
	s := start(b, site.Builder{Net: 43})
	written, everywhere := histogram(), histogram()
	i := 0
	for b.Loop() {
		i++
		begun := time.Now()
		w := put(b, s, "classes/measured", config.Class{Rank: i})
		record(written, begun)
		begun = time.Now()
		for _, h := range s.Hosts {
			for h.Daemon.State().Config().Version < w.Version {
				time.Sleep(100 * time.Microsecond)
			}
		}
		record(everywhere, begun)
	}
	report(b, "written", written)
	report(b, "in-force", everywhere)
	b.ReportMetric(float64(everywhere.Max()), "in-force-max-us")
}

// BenchmarkClaims sends calls that must not run twice from 64 callers at once.
func BenchmarkClaims(b *testing.B) {
	s := start(b, site.Builder{Net: 44})
	var wg sync.WaitGroup
	work := make(chan int)
	for range 64 {
		wg.Go(func() {
			for i := range work {
				marker := uuid.Must(uuid.NewV7()).String()
				if r := call(s, i%len(s.Hosts), "/services/floor/once/wave", marker, callers.HeaderIdempotencyKey, marker); r.outcome != "ran" {
					b.Errorf("%+v", r)
				}
			}
		})
	}
	n := 0
	for b.Loop() {
		n++
		work <- n
	}
	close(work)
	wg.Wait()
	b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "claimed-calls/s")
}
