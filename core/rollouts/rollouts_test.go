// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package rollouts_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/rollouts"
)

var limits = rollouts.Limits{Share: 0.1, Slack: 50, Revert: 5 * time.Second}

// TestRolloutOnlyAdvances draws orders, progress and adoptions, some of them late, and guards against
// a rollout that returns to an earlier phase, that two orders run at once, and that a version becomes
// current without a completed rollout or an adoption.
func TestRolloutOnlyAdvances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s rollouts.State
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
			before, _ := s.Of("pool")
			version := ident.Version(rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version"))
			next, outcome := s, rollouts.Done
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				next, outcome = s.WithOrder(rollouts.Order{Service: "pool", To: version, Duration: 12 * time.Second}, now)
				if before.Rollout.IsRunning() && version != before.Rollout.To {
					require.Equal(t, rollouts.Busy, outcome)
				} else {
					require.Equal(t, rollouts.Done, outcome)
				}
			case 1, 2:
				p := rollouts.Progress{
					Service: "pool", Order: rapid.Uint64Range(0, s.Revision).Draw(t, "order"),
					Phase: rollouts.Phase(rapid.IntRange(0, 5).Draw(t, "phase")), Share: 100,
				}
				next, outcome = s.WithProgress(p, now)
				if outcome == rollouts.Done {
					require.GreaterOrEqual(t, p.Phase, before.Rollout.Phase)
					require.Equal(t, before.Rollout.Order, p.Order)
				}
			case 3:
				next, outcome = s.WithAdoption(rollouts.Adoption{Service: "pool", Version: version})
				require.Equal(t, before.Rollout.IsRunning(), outcome == rollouts.Busy)
			}
			after, _ := next.Of("pool")
			if outcome != rollouts.Done {
				require.Equal(t, s, next)
			}
			if before.Rollout.IsRunning() && after.Current != before.Current {
				require.Equal(t, rollouts.Complete, after.Rollout.Phase)
				require.Equal(t, before.Rollout.To, after.Current)
			}
			s = next
		}
	})
}

// TestResentOrderIsAcknowledged guards against an order that is refused, or carried out twice, when
// it is resent because its acknowledgement was lost.
func TestResentOrderIsAcknowledged(t *testing.T) {
	now := time.Unix(1000, 0)
	order := rollouts.Order{Service: "pool", To: "v2", Duration: 12 * time.Second}
	for _, end := range []rollouts.Phase{rollouts.Complete, rollouts.Reverted} {
		s, _ := rollouts.State{}.WithOrder(order, now)
		again, outcome := s.WithOrder(order, now.Add(time.Second))
		require.Equal(t, rollouts.Done, outcome)
		require.Equal(t, s, again)
		ended, _ := s.WithProgress(rollouts.Progress{Service: "pool", Order: 1, Phase: end}, now.Add(2*time.Second))
		again, outcome = ended.WithOrder(order, now.Add(7*time.Second))
		require.Equal(t, rollouts.Done, outcome)
		require.Equal(t, ended, again, "it ended %s", end)
	}
}

// TestGoodVersionCompletesInTime guards against a schedule that leaves a good version incomplete at
// its deadline although the streams of the old one take two seconds.
func TestGoodVersionCompletesInTime(t *testing.T) {
	for _, duration := range []time.Duration{5 * time.Second, 12 * time.Second, time.Minute} {
		r := run(t, duration, func(o *rollouts.Observation, r rollouts.Rollout) {
			o.Verdict = rollouts.Good
			o.OldIdle = r.Phase == rollouts.Drain && o.Elapsed > r.PhaseAt+2*time.Second
		})
		require.Equal(t, rollouts.Complete, r.Phase, duration)
		require.LessOrEqual(t, r.Elapsed, duration)
	}
}

// TestUndecidedVersionIsReverted guards against a version that serves all requests although there
// were too few answers to judge it.
func TestUndecidedVersionIsReverted(t *testing.T) {
	r := run(t, 12*time.Second, func(*rollouts.Observation, rollouts.Rollout) {})
	require.Equal(t, rollouts.Reverted, r.Phase)
	require.NotEmpty(t, r.Reason)
}

// TestBadVersionIsRevertedInEveryPhase guards against a phase in which a verdict is ignored.
func TestBadVersionIsRevertedInEveryPhase(t *testing.T) {
	for _, phase := range []rollouts.Phase{rollouts.Trial, rollouts.Shift, rollouts.Drain} {
		r := run(t, 12*time.Second, func(o *rollouts.Observation, r rollouts.Rollout) {
			o.Verdict = rollouts.Good
			if r.Phase == phase {
				o.Verdict, o.Reason = rollouts.Bad, "failed answers"
			}
		})
		require.Equal(t, rollouts.Reverted, r.Phase)
		require.Equal(t, "failed answers", r.Reason)
		require.Zero(t, r.Share)
	}
}

// TestDrainWaitsUntilItIsInForce guards against a completion by time-out while a host may still serve
// by an earlier phase: the old targets would stop under its requests.
func TestDrainWaitsUntilItIsInForce(t *testing.T) {
	r := rollouts.Rollout{Order: 1, To: "v2", Duration: time.Second, Phase: rollouts.Drain, Share: rollouts.AllRequests, PhaseAt: time.Second}
	o := rollouts.Observation{Elapsed: 5 * time.Second, LongestRequest: time.Second}
	next, _ := r.Next(limits, o)
	require.Equal(t, rollouts.Drain, next.Phase)
	o.InForce = true
	next, _ = r.Next(limits, o)
	require.Equal(t, rollouts.Complete, next.Phase)
}

// TestNewLeaderDoesNotRaiseTheShare guards against a share computed from the requests of a new leader's
// time alone and the time since the order, and against slack that is used once by each leader.
func TestNewLeaderDoesNotRaiseTheShare(t *testing.T) {
	r := rollouts.Rollout{Order: 1, To: "v2", Duration: time.Minute, Phase: rollouts.Trial, Share: 90}
	for covered := 100 * time.Millisecond; covered < 10*time.Second; covered += 100 * time.Millisecond {
		o := rollouts.Observation{Elapsed: 30*time.Second + covered, Covered: covered, Requests: int(50 * covered.Seconds())}
		next, _ := r.Next(limits, o)
		require.LessOrEqual(t, next.Share, 90)
		o.Exposed = o.Requests/10 + 2
		next, _ = r.Next(limits, o)
		require.Zero(t, next.Share, "more exposed than the share, without slack")
	}
}

// run advances a rollout in steps of 100 ms until it ends. observe completes each observation.
func run(t *testing.T, duration time.Duration, observe func(*rollouts.Observation, rollouts.Rollout)) rollouts.Rollout {
	now := time.Unix(1000, 0)
	s, _ := rollouts.State{}.WithOrder(rollouts.Order{Service: "pool", To: "v2", Duration: duration}, now)
	for elapsed := time.Duration(0); elapsed < 2*duration; elapsed += 100 * time.Millisecond {
		e, _ := s.Of("pool")
		if !e.Rollout.IsRunning() {
			return e.Rollout
		}
		o := rollouts.Observation{
			Elapsed: elapsed, Covered: elapsed, Requests: int(500 * elapsed.Seconds()), LongestRequest: 12 * time.Second, InForce: true,
		}
		observe(&o, e.Rollout)
		if p, due := e.Rollout.Next(limits, o); due {
			p.Service = "pool"
			s, _ = s.WithProgress(p, now.Add(elapsed))
		}
	}
	e, _ := s.Of("pool")
	require.False(t, e.Rollout.IsRunning(), "the rollout does not end")
	return e.Rollout
}

// TestExposureStaysWithinTheBound draws requests of hosts that know a trial's share up to 1.4 s late,
// at several rates, and guards against more requests to the new version than the limits allow at any
// moment, and against a trial that uses less than half of them.
func TestExposureStaysWithinTheBound(t *testing.T) {
	for _, rate := range []float64{5, 50, 500, 5000} {
		rapid.Check(t, func(t *rapid.T) {
			draw := rapid.Uint64().Draw(t, "seed")
			next := func() float64 {
				draw = draw*6364136223846793005 + 1442695040888963407
				return float64(draw>>11) / (1 << 53)
			}
			s, _ := rollouts.State{}.WithOrder(rollouts.Order{Service: "pool", To: "v2", Duration: 12 * time.Second}, time.Unix(1000, 0))
			requests, exposed := []int{0}, []int{0}
			const step = 50 * time.Millisecond
			for elapsed := time.Duration(0); ; elapsed += step {
				e, _ := s.Of("pool")
				if elapsed >= e.Rollout.TrialEnd() {
					break
				}
				seen := max(0, len(requests)-1-rapid.IntRange(5, 28).Draw(t, "late"))
				o := rollouts.Observation{Elapsed: elapsed, Covered: elapsed, Requests: requests[seen], Exposed: exposed[seen]}
				if p, due := e.Rollout.Next(limits, o); due {
					p.Service = "pool"
					s, _ = s.WithProgress(p, time.Unix(1000, 0))
				}
				total, drawn := requests[len(requests)-1], exposed[len(exposed)-1]
				for n := rate * step.Seconds(); n > 0 && next() < n; n-- {
					total++
					if next()*rollouts.AllRequests < float64(e.Rollout.Share) {
						drawn++
					}
				}
				require.LessOrEqual(t, float64(drawn), limits.Share*float64(total)+limits.Slack)
				requests, exposed = append(requests, total), append(exposed, drawn)
			}
			total, drawn := requests[len(requests)-1], exposed[len(exposed)-1]
			if rate >= 50 {
				require.GreaterOrEqual(t, float64(drawn), limits.Share*float64(total)/2)
			}
		})
	}
}
