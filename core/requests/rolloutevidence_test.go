// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/requests"
	"github.com/yardhall/yardhall/core/rollouts"
)

// TestEvidenceIsTakenOnce guards against evidence that counts a request or an answer for the wrong
// version, twice, for a rollout that has ended, or where rollouts are disabled.
func TestEvidenceIsTakenOnce(t *testing.T) {
	s := rolloutHost(4).WithRollouts(inPhase(rollouts.Shift, 500))
	atNew, answers := 0, map[ident.Version]int{}
	for i := range 200 {
		next, d := arrive(t, s, request(fmt.Sprint("e", i), "/safe/x"), start)
		s = next
		if d.(requests.Dispatch).Worker.Version == "v2" {
			atNew++
		}
		for {
			sent, ok := d.(requests.Dispatch)
			if !ok {
				break
			}
			answers[sent.Worker.Version]++
			status := 200
			if sent.Worker.Version == "v2" {
				status = 500
			}
			var decisions []requests.Decision
			s, decisions = requests.Reduce(s, requests.AttemptEnded{
				Request: sent.Request, Attempt: sent.Attempt, Result: outcome.Answered{Status: status}, CallerWaiting: true,
			}, start)
			d = only(t, decisions)
		}
	}
	taken, e := s.TakeEvidence()
	all, exposed := e.Requests(1)
	require.Equal(t, []int{200, atNew}, []int{all, exposed})
	judged := e.Judge(1)
	require.Equal(t, []int{answers["v1"], 0}, []int{judged.Old.Answers, judged.Old.Failed})
	require.Equal(t, []int{answers["v2"], answers["v2"]}, []int{judged.New.Answers, judged.New.Failed})
	_, e = taken.TakeEvidence()
	require.True(t, e.IsEmpty())
	_, e = s.WithRollouts(inPhase(rollouts.Reverted, 0)).TakeEvidence()
	require.True(t, e.IsEmpty(), "the rollout has ended")
	s, _ = arrive(t, ready(4).WithRollouts(inPhase(rollouts.Shift, 500)), request("1", "/safe/x"), start)
	_, e = s.TakeEvidence()
	require.True(t, e.IsEmpty(), "rollouts are disabled")
}
