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
	"github.com/yardhall/yardhall/core/rollouts"
)

// versioned returns n workers of each pool for each version.
func versioned(n int, versions ...ident.Version) []registry.Worker {
	out := append(workers("plain", n*len(versions)), workers("engines", n*len(versions))...)
	for i := range out {
		out[i].Version = versions[i%len(versions)]
	}
	return out
}

// inPhase returns the rollouts of both pools from v1 to v2 in a phase.
func inPhase(phase rollouts.Phase, share int) rollouts.State {
	r := rollouts.Rollout{Order: 1, From: "v1", To: "v2", Phase: phase, Share: share}
	e := rollouts.Entry{Service: "engines", Current: "v1", Rollout: r}
	if phase == rollouts.Complete {
		e.Current = "v2"
	}
	plain := e
	plain.Service, e.Rollout.Order = "plain", 2
	return rollouts.State{Revision: uint64(phase) + 1, Entries: []rollouts.Entry{e, plain}}
}

// rolloutHost returns a host with n workers of v1 and of v2 in each pool.
func rolloutHost(n int) requests.State {
	s := readyWith(requests.Settings{Zone: "z", RolloutShare: 0.1}, 0)
	s, _ = requests.Reduce(s, requests.Registered{From: "r", Workers: versioned(n, "v1", "v2")}, start)
	return s
}

// sentTo counts the first attempts of n requests by worker, and those at version v2. Requests do not
// end.
func sentTo(t *testing.T, s requests.State, path string, n int, now time.Time) (byWorker map[ident.Target]int, atNew int) {
	t.Helper()
	byWorker = map[ident.Target]int{}
	for i := range n {
		_, d := arrive(t, s, request(fmt.Sprint("r", i), path), now)
		w := d.(requests.Dispatch).Worker
		byWorker[w.ID]++
		if w.Version == "v2" {
			atNew++
		}
	}
	return byWorker, atNew
}

// TestSilentWorkersOfADrainedVersionGetNothing guards against requests to workers of the former version
// that a host takes for silent. A soak (seed 151) had another version, not ordered yet, running under
// the id of one of them.
func TestSilentWorkersOfADrainedVersionGetNothing(t *testing.T) {
	for _, now := range []time.Time{start, start.Add(requests.DefaultRolloutLease)} {
		s := readyWith(requests.Settings{Zone: "z", RolloutShare: 0.1}, 0).WithRollouts(inPhase(rollouts.Drain, 1000))
		silent := versioned(4, "v1")
		for i := range silent {
			silent[i].State, silent[i].Seq = registry.Silent, silent[i].Seq+1
		}
		s, _ = requests.Reduce(s, requests.Registered{From: "r", Workers: silent}, start)
		for _, path := range []string{"/safe/x", "/once/x"} {
			_, d := arrive(t, s, request("r", path), now)
			finish, ok := d.(requests.Finish)
			require.True(t, ok, "sent: %+v", d)
			require.Equal(t, outcome.NotRun, finish.Verdict.Outcome)
		}
	}
}

// TestDrainedVersionGetsNothingFromHostsWithoutContact guards against requests that are lost because
// their workers stop once the rollout completes, which a host without contact does not learn.
func TestDrainedVersionGetsNothingFromHostsWithoutContact(t *testing.T) {
	s := rolloutHost(4).WithRollouts(inPhase(rollouts.Drain, 1000))
	for _, w := range versioned(4, "v1", "v2") {
		if w.Version == "v2" {
			w.State, w.Seq = registry.Silent, w.Seq+1
			s, _ = requests.Reduce(s, requests.Registered{From: "r", Workers: []registry.Worker{w}}, start)
		}
	}
	for _, path := range []string{"/safe/x", "/once/x"} {
		_, atNew := sentTo(t, s, path, 100, start.Add(requests.DefaultRolloutLease))
		require.Equal(t, 100, atNew, "new targets that may be alive go before old ones")
	}
}

// TestVersionsOfFirstAttempts guards against requests to a version that is not in force, or that a
// host may not know to be reverted, and against versions that matter without the setting.
func TestVersionsOfFirstAttempts(t *testing.T) {
	late := start.Add(requests.DefaultRolloutLease)
	host, ignoring := rolloutHost(8), ready(0)
	ignoring, _ = requests.Reduce(ignoring, requests.Registered{From: "r", Workers: versioned(8, "v1", "v2")}, start)
	for name, tt := range map[string]struct {
		s             requests.State
		now           time.Time
		least, atMost int
	}{
		"before the order":       {host.WithRollouts(inPhase(rollouts.None, 0)), start, 0, 0},
		"trial":                  {host.WithRollouts(inPhase(rollouts.Trial, 80)), start, 40, 120},
		"trial that is paused":   {host.WithRollouts(inPhase(rollouts.Trial, 0)), start, 0, 0},
		"shift":                  {host.WithRollouts(inPhase(rollouts.Shift, 500)), start, 430, 570},
		"drain":                  {host.WithRollouts(inPhase(rollouts.Drain, 1000)), start, 1000, 1000},
		"complete":               {host.WithRollouts(inPhase(rollouts.Complete, 1000)), late, 1000, 1000},
		"reverted":               {host.WithRollouts(inPhase(rollouts.Reverted, 0)), start, 0, 0},
		"trial, not confirmed":   {host.WithRollouts(inPhase(rollouts.Trial, 80)), late, 0, 0},
		"drain, not confirmed":   {host.WithRollouts(inPhase(rollouts.Drain, 1000)), late, 1000, 1000},
		"unknown version":        {host, start, 300, 700},
		"rollouts are disabled":  {ignoring.WithRollouts(inPhase(rollouts.Reverted, 0)), start, 300, 700},
		"an older state arrives": {host.WithRollouts(inPhase(rollouts.Reverted, 0)).WithRollouts(inPhase(rollouts.Drain, 1000)), start, 0, 0},
	} {
		for _, path := range []string{"/safe/x", "/unsafe/x", "/once/x", "/resumable/x"} {
			_, atNew := sentTo(t, tt.s, path, 1000, tt.now)
			require.GreaterOrEqual(t, atNew, tt.least, name+path)
			require.LessOrEqual(t, atNew, tt.atMost, name+path)
		}
	}
}

// TestResumedStreamsGoToTheCurrentVersion guards against callers that resume a stream which the new
// version broke off, and get to that version again.
func TestResumedStreamsGoToTheCurrentVersion(t *testing.T) {
	s := rolloutHost(4).WithRollouts(inPhase(rollouts.Shift, 1000))
	r := request("1", "/resumable/x")
	r.Resumed = true
	_, d := arrive(t, s, r, start)
	require.Equal(t, ident.Version("v1"), d.(requests.Dispatch).Worker.Version)
}

// TestTrialUsesFewTargets guards against a trial whose targets have less load than they will have
// afterwards, so that faults under load do not show.
func TestTrialUsesFewTargets(t *testing.T) {
	s := rolloutHost(24).WithRollouts(inPhase(rollouts.Trial, 80))
	const n = 4000
	for _, path := range []string{"/safe/x", "/once/x"} {
		byWorker, _ := sentTo(t, s, path, n, start)
		used := 0
		for id, count := range byWorker {
			if w, _ := s.Worker(id); w.Version == "v2" {
				used++
				require.InDelta(t, n/24, count, n/24/2, path)
			}
		}
		require.Equal(t, 2, used, path)
	}
}

// failNew sends requests until one is at version v2, ends its attempt and returns the next decision.
func failNew(t *testing.T, s requests.State, path string, result outcome.Attempt) (requests.State, requests.Decision) {
	t.Helper()
	for i := range 1000 {
		next, d := arrive(t, s, request(fmt.Sprint("f", i), path), start)
		if sent := d.(requests.Dispatch); sent.Worker.Version == "v2" {
			next, decisions := requests.Reduce(next, requests.AttemptEnded{Request: sent.Request, Attempt: 1, Result: result, CallerWaiting: true}, start)
			return next, only(t, decisions)
		}
	}
	require.Fail(t, "no request at the new version")
	return s, nil
}

// TestFailuresAtTheNewVersionGoToTheCurrentOne guards against retries at a version that is being
// tried, against a second run of a request that must run once, and against requests that are refused
// because a new version declines them.
func TestFailuresAtTheNewVersionGoToTheCurrentOne(t *testing.T) {
	trial, drain := rolloutHost(8).WithRollouts(inPhase(rollouts.Trial, 80)), rolloutHost(8).WithRollouts(inPhase(rollouts.Drain, 1000))
	failed, broken := outcome.Answered{Status: 500}, outcome.Interrupted{Reason: "reset"}
	for _, result := range []outcome.Attempt{failed, broken, outcome.Declined{}, outcome.NeverSent{}} {
		for _, path := range []string{"/safe/x", "/resumable/x"} {
			_, d := failNew(t, trial, path, result)
			require.Equal(t, ident.Version("v1"), d.(requests.Dispatch).Worker.Version, "%s %T", path, result)
			_, d = failNew(t, drain, path, result)
			require.Equal(t, ident.Version("v2"), d.(requests.Dispatch).Worker.Version, "%s %T", path, result)
		}
	}
	for _, result := range []outcome.Attempt{failed, broken} {
		_, d := failNew(t, trial, "/unsafe/x", result)
		require.IsType(t, requests.Finish{}, d)
	}
	_, d := failNew(t, trial, "/safe/deeper/x", outcome.Declined{})
	require.Equal(t, ident.Version("v1"), d.(requests.Dispatch).Worker.Version, "the route allows one attempt")
}

// TestPausedRequestLeavesARevertedVersion guards against a resend to a version that was reverted
// during the pause.
func TestPausedRequestLeavesARevertedVersion(t *testing.T) {
	g := table()
	g.Number, g.Routes[1].MaxAttempts, g.Routes[1].Objective = 2, 1, g.Routes[1].Timeout
	s, d := failNew(t, rolloutHost(8).WithRouteTable(g).WithRollouts(inPhase(rollouts.Drain, 1000)), "/unsafe/x", outcome.Declined{})
	pause := d.(requests.Pause)
	_, d = afterPause(t, s.WithRollouts(inPhase(rollouts.Reverted, 0)), pause.Request, start)
	require.Equal(t, ident.Version("v1"), d.(requests.Dispatch).Worker.Version)
	_, d = afterPause(t, s, pause.Request, start)
	require.Equal(t, pause.Worker, d.(requests.Dispatch).Worker.ID)
}

// TestCurrentVersionServesWithoutNewTargets guards against requests that are refused, in any phase,
// because the new targets are gone, and against a rollout that never starts to use their successors.
func TestCurrentVersionServesWithoutNewTargets(t *testing.T) {
	for _, phase := range []rollouts.Phase{rollouts.Trial, rollouts.Shift, rollouts.Drain} {
		s := rolloutHost(4).WithRollouts(inPhase(phase, 500))
		for _, w := range versioned(4, "v1", "v2") {
			if w.Version == "v2" {
				w.State, w.Seq = registry.Gone, 2
				s, _ = requests.Reduce(s, requests.Registered{From: "r", Workers: []registry.Worker{w}}, start)
			}
		}
		for _, path := range []string{"/safe/x", "/once/x"} {
			_, atNew := sentTo(t, s, path, 100, start)
			require.Zero(t, atNew)
			successor := workers("plain", 1)[0]
			successor.ID, successor.Version, successor.Seq = "successor", "v2", 3
			next, _ := requests.Reduce(s, requests.Registered{From: "r", Workers: []registry.Worker{successor}}, start)
			_, atNew = sentTo(t, next, "/safe/x", 100, start)
			require.Positive(t, atNew)
		}
	}
}

// TestVersionOfAWorkerChanges guards against a host that goes by a worker's earlier version, or by
// the version of the worker that had its address before.
func TestVersionOfAWorkerChanges(t *testing.T) {
	s := rolloutHost(1).WithRollouts(inPhase(rollouts.None, 0))
	register := func(w registry.Worker) map[ident.Target]int {
		s, _ = requests.Reduce(s, requests.Registered{From: "r", Workers: []registry.Worker{w}}, start)
		byWorker, _ := sentTo(t, s, "/safe/x", 50, start)
		return byWorker
	}
	old, fresh := versioned(1, "v1", "v2")[0], versioned(1, "v1", "v2")[1]
	fresh.Version, fresh.Seq = "", 2
	require.Len(t, register(fresh), 2, "a worker without a version counts as of the current one")
	fresh.Version, fresh.Seq = "v2", 3
	require.Equal(t, map[ident.Target]int{old.ID: 50}, register(fresh))
	fresh.Version, fresh.Seq = "v1", 4
	require.Len(t, register(fresh), 2)
	successor := fresh
	successor.ID, successor.Version, successor.Seq = "successor", "v2", 1
	require.Equal(t, map[ident.Target]int{old.ID: 50}, register(successor))
}

// TestRefusalsFollowTheCurrentVersion guards against a host that takes targets of a version not in
// force for a reason to be ready, to have callers return at once, or to blame a drained zone, and that
// prefers them to a target of the current version that may be alive.
func TestRefusalsFollowTheCurrentVersion(t *testing.T) {
	with := func(change func(w *registry.Worker)) requests.State {
		s := readyWith(requests.Settings{Zone: "z", RolloutShare: 0.1}, 0).WithRollouts(inPhase(rollouts.Reverted, 0))
		list := versioned(1, "v1", "v2")
		for i := range list {
			change(&list[i])
		}
		s, _ = requests.Reduce(s, requests.Registered{From: "r", Workers: list}, start)
		return s
	}
	silent := with(func(w *registry.Worker) {
		if w.Version == "v1" {
			w.State = registry.Silent
		}
	})
	require.False(t, silent.HasHealthyWorkers(start))
	for _, path := range []string{"/safe/x", "/once/x"} {
		_, d := arrive(t, silent, request("1", path), start)
		require.Equal(t, ident.Version("v1"), d.(requests.Dispatch).Worker.Version)
		require.True(t, d.(requests.Dispatch).Inputs.LastResort)
		s := with(func(*registry.Worker) {})
		s, d = arrive(t, s, request("1", path), start)
		s = withNotice(s, d.(requests.Dispatch), requests.Notice{Backoff: time.Second}, start)
		_, d = arrive(t, s, request("2", path), start)
		require.Equal(t, requests.CodeOverloaded, d.(requests.Finish).Verdict.Code)
		require.GreaterOrEqual(t, d.(requests.Finish).Verdict.RetryAfter, time.Second)
	}
	s := with(func(w *registry.Worker) {
		if w.Zone = "y"; w.Version == "v1" {
			w.State = registry.Gone
		}
	}).WithDrainedZones(drain("y"))
	_, d := arrive(t, s, request("1", "/safe/x"), start)
	require.Equal(t, requests.CodeNoWorker, d.(requests.Finish).Verdict.Code)
}
