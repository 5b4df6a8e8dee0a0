// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// TestConnectedAttemptIsWithheld guards against requests to a worker that began to leave, ended or started
// again after it was chosen. It checks that a call may go to another worker at no charge, and that an
// attempt at a worker that stays is left alone.
func TestConnectedAttemptIsWithheld(t *testing.T) {
	for name, change := range map[string]func(*registry.Worker){
		"stays": func(w *registry.Worker) { w.Seq++ }, "leaves": func(w *registry.Worker) { w.State = registry.Draining },
		"ended": func(w *registry.Worker) { w.State = registry.Gone }, "restarted": func(w *registry.Worker) { w.Born++ },
	} {
		t.Run(name, func(t *testing.T) {
			s := ready(2)
			born := workers("plain", 2)
			for i := range born {
				born[i].Born, born[i].Seq = 1000, 2
			}
			s, _ = requests.Reduce(s, requests.Registered{From: "r", Workers: born}, start)
			s, d := arrive(t, s, request("a", "/unsafe/x"), start)
			first := d.(requests.Dispatch)
			w := first.Worker
			w.Seq++
			change(&w)
			s, _ = requests.Reduce(s, requests.Registered{From: "r", Workers: []registry.Worker{w}}, start)
			s, decisions := requests.Reduce(s, requests.Connected{Request: "a", Attempt: 1}, start)
			if name == "stays" {
				require.Empty(t, decisions)
				return
			}
			require.Equal(t, requests.CancelAttempt{Request: "a"}, only(t, decisions))
			withheld := requests.AttemptEnded{Request: "a", Attempt: 1, Result: outcome.NeverSent{Withheld: true}, CallerWaiting: true}
			s, decisions = requests.Reduce(s, withheld, start)
			require.NotEqual(t, first.Worker.ID, only(t, decisions).(requests.Dispatch).Worker.ID)
			require.Zero(t, s.Counters().Retried)
			require.EqualValues(t, 1, s.Counters().Withheld)
		})
	}
}

// TestAttemptIsWithheldAfterAStall guards against a request that is written after the process stood still
// between choice and connection: it waits for news of workers and may then go to the same one.
func TestAttemptIsWithheldAfterAStall(t *testing.T) {
	s := ready(1)
	s, d := arrive(t, s, request("a", "/unsafe/x"), start)
	require.IsType(t, requests.Dispatch{}, d)
	resumed := start.Add(500 * time.Millisecond)
	s = s.WithResumedAt(resumed)
	s, decisions := requests.Reduce(s, requests.Connected{Request: "a", Attempt: 1}, resumed)
	require.Equal(t, requests.CancelAttempt{Request: "a"}, only(t, decisions))
	s, decisions = requests.Reduce(s, requests.AttemptEnded{Request: "a", Attempt: 1, Result: outcome.NeverSent{Withheld: true}, CallerWaiting: true}, resumed)
	pause := only(t, decisions).(requests.Pause)
	require.LessOrEqual(t, pause.For, 300*time.Millisecond)
	s = s.WithDeparturesKnown(resumed.Add(time.Millisecond))
	_, decisions = requests.Reduce(s, requests.PauseEnded{Request: "a", CallerWaiting: true}, resumed.Add(pause.For))
	require.EqualValues(t, "plain-0", only(t, decisions).(requests.Dispatch).Worker.ID)
}
