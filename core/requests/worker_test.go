// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// TestWorkersThatLeaveGetNothingNew guards against late registrations that make a draining or
// gone worker available again.
func TestWorkersThatLeaveGetNothingNew(t *testing.T) {
	for _, state := range []registry.State{registry.Draining, registry.Gone} {
		s := ready(1)
		leaving := workers("plain", 1)[0]
		leaving.State, leaving.Seq = state, 2
		s, _ = requests.Reduce(s, requests.Registered{From: "r", Workers: []registry.Worker{leaving}}, start)
		late := workers("plain", 1)
		s, _ = requests.Reduce(s, requests.Registered{From: "q", Workers: late}, start)
		_, d := arrive(t, s, request("1", "/safe/x"), start)
		require.Equal(t, requests.CodeNoWorker, d.(requests.Finish).Verdict.Code, state.String())
	}
}

func TestReplacedWorkerIsNotUsedAgain(t *testing.T) {
	s := ready(1)
	s, d := arrive(t, s, request("1", "/unsafe/x"), start)
	s, _ = requests.Reduce(s, requests.AttemptEnded{
		Request: "1", Attempt: d.(requests.Dispatch).Attempt, Result: outcome.Declined{Leaving: true}, CallerWaiting: true,
	}, start)
	_, d = arrive(t, s, request("2", "/unsafe/x"), start.Add(time.Minute))
	require.IsType(t, requests.Finish{}, d)
}

// TestEjectedWorkersAreUsedAsLastResort guards against refusing everything when all workers are
// ejected, as the fault is then most likely this host's.
func TestEjectedWorkersAreUsedAsLastResort(t *testing.T) {
	s := ready(2)
	for i := range 4 {
		id := fmt.Sprintf("r%d", i)
		var d requests.Decision
		s, d = arrive(t, s, request(id, "/unsafe/x"), start)
		s, _ = requests.Reduce(s, requests.AttemptEnded{
			Request: ident.Request(id), Attempt: d.(requests.Dispatch).Attempt, Result: outcome.Interrupted{}, CallerWaiting: true,
		}, start)
	}
	_, d := arrive(t, s, request("last", "/safe/x"), start)
	require.IsType(t, requests.Dispatch{}, d)
}
