// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/confirmation"
	"github.com/yardhall/yardhall/core/origins"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// TestStreamGoesOnAtAWorkerWhoseProcessIsKnown guards against streams that wait for the proof of a new connection's
// process, and are refused, while the host has a connection to a worker of their version that is proved.
func TestStreamGoesOnAtAWorkerWhoseProcessIsKnown(t *testing.T) {
	const engines = 6
	now := start.Add(10 * time.Second)
	all := workers("engines", engines)
	for i := range all {
		all[i].Born, all[i].Version = 1000, "v1"
	}
	for i, known := range all {
		s := requests.New(requests.Settings{Zone: "z"}).WithRouteTable(table()).WithHostCount(1).WithProcessesReported()
		s, _ = requests.Reduce(s, requests.Registered{From: "r", Workers: all}, now)
		s, _ = requests.Reduce(s, requests.Confirmed{Confirmation: confirmation.At(now)}, now)
		s = answerOver(t, s, known, start, now)
		life := registry.Life{Worker: known.ID, Born: known.Born, Version: known.Version, From: start.Add(-time.Second)}
		for seq := range uint64(3) {
			life = life.WithArrival(registry.Arrival{Seq: seq + 1, At: start.Add(time.Duration(seq) * time.Second)})
		}
		s, _ = requests.Reduce(s, requests.ProcessSeen{Life: life}, now)
		origin := origins.Origin{Service: "engines", Version: "v1"}
		s, _ = requests.Reduce(s, requests.OriginFound{Stream: origins.KeyOf("first"), Origin: origin}, now)
		r := request("second", "/resumable/x")
		r.Resumed, r.Resumes, r.Prompt = true, "first", prompt("one")
		_, d := arrive(t, s, r, now)
		require.Equal(t, known.ID, d.(requests.Dispatch).Worker.ID, "engine %d", i)
	}
}

// answerOver lets a worker answer a stream over a connection that was opened at a time.
func answerOver(t *testing.T, s requests.State, w registry.Worker, openedAt, now time.Time) requests.State {
	for i := range 200 {
		r := request(fmt.Sprint("r", i), "/resumable/x")
		r.Prompt = prompt(string(r.ID))
		next, d := arrive(t, s, r, now)
		if d.(requests.Dispatch).Worker.ID == w.ID {
			s = next
			s, _ = requests.Reduce(s, requests.HeaderReceived{Request: r.ID, Attempt: 1, Worker: w.ID, Route: "resumable", OpenedAt: openedAt}, now)
			s, _ = requests.Reduce(s, requests.AttemptEnded{Request: r.ID, Attempt: 1, Result: outcome.Answered{Status: 200}, CallerWaiting: true}, now)
			return s
		}
	}
	require.Fail(t, "no request reached the worker")
	return s
}
