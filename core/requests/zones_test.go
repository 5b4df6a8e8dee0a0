// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/confirmation"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// zonedHost simulates a host in zone z with workers in three zones.
type zonedHost struct {
	t     *testing.T
	state requests.State
	now   time.Time
	zones map[ident.Target]ident.Zone
	next  int
	// keepAlive is set if requests use connections from before the partition.
	keepAlive bool
	probes    []registry.Worker
}

func newZoned(t *testing.T, each int) *zonedHost {
	h := &zonedHost{t: t, state: ready(0), now: start, zones: map[ident.Target]ident.Zone{}}
	all := make([]registry.Worker, 0, 3*each)
	for _, zone := range []ident.Zone{"z", "y", "x"} {
		for i := range each {
			w := registry.Worker{
				ID: ident.Target(fmt.Sprintf("%s-%d", zone, i)), Pool: "engines", Zone: zone,
				Address: fmt.Sprintf("10.0.%c.%d:80", zone[0], i), Slots: 64, Seq: 1,
			}
			all = append(all, w)
			h.zones[w.ID] = zone
		}
	}
	h.state, _ = requests.Reduce(h.state, requests.Registered{From: "r", Workers: all}, h.now)
	return h
}

// feed applies an event and returns the decision on its request.
func (h *zonedHost) feed(ev requests.Event) requests.Decision {
	var decisions []requests.Decision
	h.state, decisions = requests.Reduce(h.state, ev, h.now)
	var out requests.Decision
	for _, d := range decisions {
		switch d := d.(type) {
		case requests.ProbeConnection:
			h.probes = append(h.probes, d.Worker)
		case requests.Dispatch, requests.Finish:
			out = d
		}
	}
	return out
}

// sendRequest has a request with its own prompt arrive.
func (h *zonedHost) sendRequest() requests.Dispatch {
	h.next++
	h.feed(requests.Confirmed{Confirmation: confirmation.At(h.now)})
	r := request(fmt.Sprintf("r%d", h.next), "/resumable/x")
	r.Prompt = prompt(fmt.Sprint("subject-", h.next))
	d, ok := h.feed(requests.Arrived{Request: r}).(requests.Dispatch)
	require.True(h.t, ok)
	return d
}

// countAttempts retries a request until it succeeds, and returns the number of attempts. Attempts
// in partitioned zones time out.
func (h *zonedHost) countAttempts(partitioned ...ident.Zone) int {
	d, attempts := h.sendRequest(), 1
	for {
		var result outcome.Attempt = outcome.Answered{Status: 200}
		for _, zone := range partitioned {
			if h.zones[d.Worker.ID] == zone {
				result = h.timeout()
			}
		}
		next := h.feed(requests.AttemptEnded{Request: d.Request, Attempt: d.Attempt, Result: result, CallerWaiting: true})
		retried, ok := next.(requests.Dispatch)
		if !ok {
			return attempts
		}
		d, attempts = retried, attempts+1
	}
}

// timeout returns the result of an attempt in a partitioned zone.
func (h *zonedHost) timeout() outcome.Attempt {
	if h.keepAlive {
		return outcome.Interrupted{Reason: "i/o timeout", TimedOut: true}
	}
	return outcome.NeverSent{Reason: "i/o timeout", ConnectTimedOut: true}
}

// TestPartitionedZoneIsAvoidedAtOnce guards against trying each worker of a partitioned zone, and
// against avoiding the zone once it is reachable again.
func TestPartitionedZoneIsAvoidedAtOnce(t *testing.T) {
	for _, kept := range []bool{false, true} {
		t.Run(fmt.Sprint("kept connections ", kept), func(t *testing.T) { partitionOneZone(t, kept) })
	}
}

func partitionOneZone(t *testing.T, keepAlive bool) {
	h := newZoned(t, 30)
	h.keepAlive = keepAlive
	failures := 0
	for range 200 {
		failures += h.countAttempts("y") - 1
		h.now = h.now.Add(10 * time.Millisecond)
	}
	require.LessOrEqual(t, failures, 5)
	require.NotEmpty(t, h.probes)
	for _, w := range h.probes {
		require.EqualValues(t, "y", w.Zone)
		h.feed(requests.ProbeEnded{Worker: w.ID})
	}
	require.LessOrEqual(t, len(h.probes), 5, "probes are rate-limited")
	h.feed(requests.ProbeEnded{Worker: h.probes[0].ID, OK: true})
	used := map[ident.Zone]int{}
	for range 90 {
		d := h.sendRequest()
		used[h.zones[d.Worker.ID]]++
	}
	require.Greater(t, used["y"], 15)
}

// TestPartitionedHostUsesItsOwnZone guards against a host that cannot reach other zones trying
// each of them.
func TestPartitionedHostUsesItsOwnZone(t *testing.T) {
	h := newZoned(t, 30)
	misses := 0
	for range 200 {
		misses += h.countAttempts("y", "x") - 1
		h.now = h.now.Add(10 * time.Millisecond)
	}
	require.LessOrEqual(t, misses, 8)
	d := h.sendRequest()
	require.EqualValues(t, "z", h.zones[d.Worker.ID])
}

// TestDeadWorkersDoNotMakeTheirZoneUnreachable guards against avoiding a zone because a few of
// its workers are dead.
func TestDeadWorkersDoNotMakeTheirZoneUnreachable(t *testing.T) {
	h := newZoned(t, 30)
	dark := map[ident.Target]bool{"y-1": true, "y-2": true, "y-3": true, "y-4": true}
	others := 0
	for range 400 {
		d := h.sendRequest()
		var result outcome.Attempt = outcome.Answered{Status: 200}
		if dark[d.Worker.ID] {
			result = outcome.NeverSent{Reason: "i/o timeout", ConnectTimedOut: true}
		} else if h.zones[d.Worker.ID] == "y" {
			others++
		}
		h.feed(requests.AttemptEnded{Request: d.Request, Attempt: d.Attempt, Result: result, CallerWaiting: false})
		h.now = h.now.Add(10 * time.Millisecond)
		for _, w := range h.probes {
			h.feed(requests.ProbeEnded{Worker: w.ID, OK: !dark[w.ID]})
		}
		h.probes = nil
	}
	require.Greater(t, others, 60)
}

// TestRefusedConnectionsMakeNoZoneUnreachable guards against treating refused connections as a
// partition.
func TestRefusedConnectionsMakeNoZoneUnreachable(t *testing.T) {
	h := newZoned(t, 4)
	for range 40 {
		d := h.sendRequest()
		h.feed(requests.AttemptEnded{Request: d.Request, Attempt: d.Attempt, Result: outcome.NeverSent{Reason: "refused"}, CallerWaiting: false})
		h.now = h.now.Add(10 * time.Millisecond)
	}
	h.now = h.now.Add(time.Minute)
	seen := map[ident.Zone]bool{}
	for range 40 {
		d := h.sendRequest()
		seen[h.zones[d.Worker.ID]] = true
	}
	require.Len(t, seen, 3)
}
