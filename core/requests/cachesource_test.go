// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// sharedPrompt is a prompt whose first part many requests share.
func sharedPrompt() requests.Prompt {
	return requests.Prompt{Model: "m", TokensIn: 1100, TokensOut: 50, Parts: []requests.Part{{ID: "subject", Tokens: 1000}, {ID: "own", Tokens: 100}}}
}

// TestRetryCopiesThePrefixFromTheFirstEngine guards against losing the cached prefix on a retry:
// the engine tried first is the cache source if it answered, and not if its answer was
// interrupted.
func TestRetryCopiesThePrefixFromTheFirstEngine(t *testing.T) {
	for name, result := range map[string]outcome.Attempt{
		"failed": outcome.Answered{Status: 500}, "declined": outcome.Declined{}, "broke off": outcome.Interrupted{},
	} {
		r := request("1", "/resumable/x")
		r.Prompt = sharedPrompt()
		s, d := arrive(t, ready(6), r, start)
		first := d.(requests.Dispatch)
		_, decisions := requests.Reduce(s, requests.AttemptEnded{Request: "1", Attempt: 1, Result: result, CallerWaiting: true}, start)
		again := only(t, decisions).(requests.Dispatch)
		require.NotEqual(t, first.Worker.ID, again.Worker.ID)
		require.Equal(t, name != "broke off", again.CacheFrom == first.Worker.Address, name)
		require.NotEmpty(t, again.CacheFrom)
	}
}

// TestPrefixesAreCopiedFromDrainingEngines guards against reading a prefix again although an
// engine that is leaving still has it cached.
func TestPrefixesAreCopiedFromDrainingEngines(t *testing.T) {
	r := request("1", "/resumable/x")
	r.Prompt = sharedPrompt()
	s, d := arrive(t, ready(6), r, start)
	keeper := d.(requests.Dispatch).Worker
	leaving := keeper
	leaving.State, leaving.Seq = registry.Draining, keeper.Seq+1
	s, _ = requests.Reduce(s, requests.Registered{From: "r", Workers: []registry.Worker{leaving}}, start)
	r.ID = "2"
	s, d = arrive(t, s, r, start)
	require.NotEqual(t, keeper.ID, d.(requests.Dispatch).Worker.ID)
	require.Equal(t, keeper.Address, d.(requests.Dispatch).CacheFrom)
	leaving.State, leaving.Seq = registry.Gone, keeper.Seq+2
	s, _ = requests.Reduce(s, requests.Registered{From: "r", Workers: []registry.Worker{leaving}}, start)
	r.ID = "3"
	_, d = arrive(t, s, r, start)
	require.NotEqual(t, keeper.Address, d.(requests.Dispatch).CacheFrom)
}
