// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/confirmation"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/loads"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// plainLoad describes many small hosts and a pool of three plain workers, one per zone, with few
// slots and short work, so that load reports are too old to show the slots in use. Traffic varies
// in waves, out of phase between zones.
type plainLoad struct {
	hosts     int
	perSecond float64
	// down is a worker that fails at downFrom; -1 for none.
	down     int
	downFrom time.Duration
	// brittle is the limit that workers report, 0 for none; they then let no request wait. From
	// burstFrom to burstTo the traffic is multiplied by burst.
	brittle            int
	burst              float64
	burstFrom, burstTo time.Duration
	// skewedFrom is when the balancer begins to hand all connections to one host; 0 for never.
	skewedFrom time.Duration
	// slots are those of each worker; 0 is plainSlots.
	slots int
	// spike is a number of requests that arrive at once every spikeEach; 0 for none.
	spike     int
	spikeEach time.Duration
}

func (l plainLoad) slotsEach() int { return cmp.Or(l.slots, plainSlots) }

// Slots, queue length, work and objective of the plain workers, depth and period of the waves,
// age of reports, and step of the simulation.
const (
	plainSlots     = 6
	plainQueue     = 6
	plainWork      = 30 * time.Millisecond
	plainObjective = 150 * time.Millisecond
	plainSwing     = 0.27
	plainPeriod    = 11 * time.Second
	plainAge       = 450 * time.Millisecond
	plainStep      = 2 * time.Millisecond
)

// plainResults are the results of a simulation.
type plainResults struct {
	requests, inTime, late, declined, refused int
	// crashes counts the seconds in which a worker declined more than its brittle limit.
	crashes int
}

func (f plainResults) String() string {
	share := func(n int) float64 { return float64(n) / float64(max(1, f.requests)) }
	return fmt.Sprintf("%d requests: in aim %.4f, late %.4f, declined %.4f, refused %.4f",
		f.requests, share(f.inTime), share(f.late), share(f.declined), share(f.refused))
}

type plainJob struct {
	request requests.Request
	host    int
	attempt int
	// pausing is set during a pause, while the request is at no worker.
	pausing bool
	arrived time.Time
	ends    time.Time
}

type plainFleet struct {
	load    plainLoad
	random  *rand.Rand
	now     time.Time
	hosts   []requests.State
	running [3][]plainJob
	queued  [3][]plainJob
	arrived map[ident.Request]time.Time
	reports []loadReport
	results plainResults
	pending []plainJob
	// declines are the times of each worker's declined requests in the last second.
	declines [3][]time.Time
}

func newPlainFleet(l plainLoad, seed uint64) *plainFleet {
	f := &plainFleet{load: l, random: rand.New(rand.NewPCG(seed, 3)), now: start, arrived: map[ident.Request]time.Time{}}
	t := config.RouteTable{Number: 1, Pools: []config.Pool{{ID: "plain"}}, Routes: []config.Route{{
		Name: "confirm", Host: "a.example", Prefix: "/confirm/", Kind: config.RouteUnsafe, Public: true,
		Timeout: config.Duration(time.Second), Objective: config.Duration(plainObjective), MaxAttempts: 2,
		Shares: []config.Share{{Pool: "plain", Weight: 1}},
	}}}
	for i := range l.hosts {
		s := requests.New(requests.Settings{Zone: ident.Zone(fmt.Sprint("z", i%3)), RetryExtra: 184}).WithRouteTable(t).WithHostCount(l.hosts)
		all := make([]registry.Worker, 0, 3)
		for w := range 3 {
			all = append(all, registry.Worker{
				ID: plainID(w), Pool: "plain", Zone: ident.Zone(fmt.Sprint("z", w)), Address: fmt.Sprintf("10.0.0.%d:80", w), Slots: l.slotsEach(), Seq: 1,
			})
		}
		s, _ = requests.Reduce(s, requests.Registered{From: "r", Workers: all}, f.now)
		s, _ = requests.Reduce(s, requests.Confirmed{Confirmation: confirmation.At(f.now.Add(24 * time.Hour))}, f.now)
		f.hosts = append(f.hosts, s)
	}
	return f
}

func plainID(w int) ident.Target { return ident.Target(fmt.Sprint("plain-", w)) }

func (f *plainFleet) run(d time.Duration) plainResults {
	begun, report, spike := f.now, f.now, f.now.Add(f.load.spikeEach)
	for ; f.now.Sub(begun) < d; f.now = f.now.Add(plainStep) {
		if !f.now.Before(report) {
			report = f.now.Add(reportEvery)
			f.report()
		}
		if f.load.spike > 0 && !f.now.Before(spike) {
			spike = spike.Add(f.load.spikeEach)
			for i := range f.load.spike {
				f.arrive(i % 3)
			}
		}
		f.deliver()
		f.sendPending()
		for zone := range 3 {
			phase := float64(f.now.Sub(begun))/float64(plainPeriod) + float64(zone)/3
			rate := f.load.perSecond / 3 * (1 + plainSwing*math.Sin(2*math.Pi*phase))
			if at := f.now.Sub(begun); at >= f.load.burstFrom && at < f.load.burstTo {
				rate *= f.load.burst
			}
			for draw := f.random.Float64(); draw < rate*plainStep.Seconds(); draw++ {
				f.arrive(zone)
			}
		}
		for w := range 3 {
			f.work(w, f.load.down == w && f.now.Sub(begun) >= f.load.downFrom)
		}
	}
	return f.results
}

func (f *plainFleet) report() {
	r := loadReport{asOf: f.now}
	for _, h := range f.hosts {
		r.own = append(r.own, h.Loads(f.now))
	}
	r.total = loads.Sum(slices.Values(r.own))
	f.reports = append(f.reports, r)
}

func (f *plainFleet) deliver() {
	for _, r := range f.reports {
		if age := f.now.Sub(r.asOf); age >= plainAge && age < plainAge+plainStep {
			for i := range f.hosts {
				f.feed(i, requests.LoadsReported{Loads: r.total.Subtract(r.own[i]), AsOf: r.asOf})
			}
		}
	}
	if len(f.reports) > 8 {
		f.reports = f.reports[1:]
	}
}

func (f *plainFleet) arrive(zone int) {
	r := requests.Request{
		ID: ident.Request(fmt.Sprintf("%016x", f.random.Uint64())), Host: "a.example", Path: "/confirm/x", Deadline: f.now.Add(time.Second),
	}
	f.results.requests++
	f.arrived[r.ID] = f.now
	host := zone + 3*f.random.IntN(f.load.hosts/3)
	if from := f.load.skewedFrom; from > 0 && f.now.Sub(start) >= from {
		host = 0
	}
	f.feed(host, requests.Arrived{Request: r})
}

func (f *plainFleet) feed(host int, ev requests.Event) {
	next, decisions := requests.Reduce(f.hosts[host], ev, f.now)
	f.hosts[host] = next
	for _, d := range decisions {
		switch d := d.(type) {
		case requests.Dispatch:
			f.pending = append(f.pending, plainJob{
				request: requests.Request{ID: d.Request, Path: string(d.Worker.ID)}, host: host, attempt: d.Attempt, ends: f.now,
			})
		case requests.Pause:
			f.pending = append(f.pending, plainJob{request: requests.Request{ID: d.Request}, host: host, pausing: true, ends: f.now.Add(d.For)})
		case requests.Finish:
			if d.Verdict.Code != requests.CodeOK {
				f.results.refused++
			}
		}
	}
}

// sendPending delivers requests to their workers once their pause is over.
func (f *plainFleet) sendPending() {
	due := f.pending
	f.pending = nil
	for _, j := range due {
		if j.ends.After(f.now) {
			f.pending = append(f.pending, j)
			continue
		}
		if j.pausing {
			f.feed(j.host, requests.PauseEnded{Request: j.request.ID, CallerWaiting: true})
			continue
		}
		var w int
		_, _ = fmt.Sscanf(j.request.Path, "plain-%d", &w)
		j.arrived = f.arrived[j.request.ID]
		switch {
		case len(f.running[w]) < f.load.slotsEach():
			j.ends = f.now.Add(plainWork)
			f.running[w] = append(f.running[w], j)
		case len(f.queued[w]) < plainQueue && f.brittle() == 0:
			f.queued[w] = append(f.queued[w], j)
		default:
			f.results.declined++
			f.countDecline(w)
			f.reportHeader(j, w, true)
			f.feed(j.host, requests.AttemptEnded{Request: j.request.ID, Attempt: j.attempt, Result: outcome.Declined{Reason: "full"}, CallerWaiting: true})
		}
	}
}

// work ends requests that are due and starts queued ones; a failed worker loses all of its
// requests.
func (f *plainFleet) work(w int, down bool) {
	if down {
		lost := slices.Concat(f.running[w], f.queued[w])
		f.running[w], f.queued[w] = nil, nil
		for _, j := range lost {
			f.feed(j.host, requests.AttemptEnded{
				Request: j.request.ID, Attempt: j.attempt, Result: outcome.NeverSent{Reason: "connection refused", ConnectRefused: true}, CallerWaiting: true,
			})
		}
		return
	}
	var left []plainJob
	for _, j := range f.running[w] {
		if j.ends.After(f.now) {
			left = append(left, j)
			continue
		}
		if f.now.Sub(j.arrived) <= plainObjective {
			f.results.inTime++
		} else {
			f.results.late++
		}
		f.reportHeader(j, w, false)
		f.feed(j.host, requests.AttemptEnded{Request: j.request.ID, Attempt: j.attempt, Result: outcome.Answered{Status: 200}, CallerWaiting: true})
	}
	f.running[w] = left
	for len(f.running[w]) < f.load.slotsEach() && len(f.queued[w]) > 0 {
		j := f.queued[w][0]
		f.queued[w] = f.queued[w][1:]
		j.ends = f.now.Add(plainWork)
		f.running[w] = append(f.running[w], j)
	}
}

// brittleFrom is when workers become brittle.
const brittleFrom = 2 * time.Second

// brittle returns the limit that workers report now.
func (f *plainFleet) brittle() int {
	if f.now.Sub(start) < brittleFrom {
		return 0
	}
	return f.load.brittle
}

// reportHeader reports the header of an answer.
func (f *plainFleet) reportHeader(j plainJob, w int, declined bool) {
	f.feed(j.host, requests.HeaderReceived{
		Request: j.request.ID, Attempt: j.attempt, Worker: plainID(w), Declined: declined, Route: "confirm", Took: f.now.Sub(j.arrived),
		Notice: requests.Notice{Brittle: f.brittle()},
	})
}

// countDecline counts a declined request, and a crash if that is one too many for a brittle worker.
func (f *plainFleet) countDecline(w int) {
	recent := slices.DeleteFunc(f.declines[w], func(at time.Time) bool { return f.now.Sub(at) > time.Second })
	f.declines[w] = append(recent, f.now)
	if f.brittle() > 0 && len(f.declines[w]) > f.load.brittle {
		f.results.crashes++
		f.declines[w] = nil
	}
}

// TestScarcePlainWorkers guards against hosts overloading the least loaded worker together:
// nearly all requests must be served in time although reports are half a second old and a worker
// may fail.
func TestScarcePlainWorkers(t *testing.T) {
	t.Parallel()
	for _, l := range []plainLoad{
		{hosts: 72, perSecond: 178, down: -1},
		{hosts: 72, perSecond: 268, down: -1},
		{hosts: 72, perSecond: 178, down: 1, downFrom: 2 * time.Second},
		{hosts: 72, perSecond: 268, down: 1, downFrom: 2 * time.Second},
		{hosts: 6, perSecond: 178, down: -1},
		{hosts: 6, perSecond: 268, down: 1, downFrom: 2 * time.Second},
	} {
		for seed := range uint64(2) {
			f := newPlainFleet(l, seed).run(12 * time.Second)
			t.Logf("%+v: %s", l, f)
			require.Greater(t, float64(f.inTime), 0.99*float64(f.requests))
			require.Less(t, float64(f.declined), 0.01*float64(f.requests))
			require.Zero(t, f.refused)
		}
	}
}
