// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/requests"
)

// TestOutcomesFollowFromAttempts ends attempts in random ways and guards against requests that
// run twice, false promises of not-run, more workers than the route allows, and events with
// several decisions.
func TestOutcomesFollowFromAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		path := rapid.SampledFrom([]string{"/safe/x", "/unsafe/x", "/once/x", "/resumable/x"}).Draw(t, "path")
		s, now := ready(rapid.IntRange(1, 6).Draw(t, "workers")), start
		s, d := arrive(t, s, request("1", path), now)
		mayHaveRun, reached := false, 0
		for {
			dispatch, ok := d.(requests.Dispatch)
			if !ok {
				break
			}
			require.False(t, mayHaveRun && !dispatch.Route.Repeatable(), "a request that must run at most once was sent again")
			require.Less(t, reached, dispatch.Route.MaxAttempts)
			result := rapid.SampledFrom([]outcome.Attempt{
				outcome.Answered{Status: 200},
				outcome.Answered{Status: 500},
				outcome.NeverSent{},
				outcome.Declined{},
				outcome.Declined{Leaving: true},
				outcome.Interrupted{},
				outcome.Interrupted{AnswerStarted: true},
				outcome.Abandoned{Sent: true},
			}).Draw(t, "result")
			if outcome.Of(result) != outcome.NotRun {
				mayHaveRun = true
			}
			if declined, ok := result.(outcome.Declined); !ok || !declined.Leaving {
				if _, never := result.(outcome.NeverSent); !never {
					reached++
				}
			}
			now = now.Add(time.Millisecond)
			var decisions []requests.Decision
			s, decisions = requests.Reduce(s, requests.AttemptEnded{Request: "1", Attempt: dispatch.Attempt, Result: result, CallerWaiting: true}, now)
			d = only(t, decisions)
		}
		verdict := d.(requests.Finish).Verdict
		if mayHaveRun {
			require.NotEqual(t, outcome.NotRun, verdict.Outcome)
		} else {
			require.Equal(t, outcome.NotRun, verdict.Outcome)
			require.Positive(t, verdict.RetryAfter, "a request that has not run must have a Retry-After")
		}
		require.True(t, s.Idle())
	})
}
