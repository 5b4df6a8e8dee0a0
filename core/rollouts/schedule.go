// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package rollouts

import (
	"time"
)

// The leader advances a rollout of duration D:
//
//	phase   share of new requests         next phase
//	Trial   trialShare, see below         at D - reserve: Shift if the verdict is Good, else Reverted
//	Shift   a quarter, then half          after two steps: Drain
//	Drain   all                           Complete, once the old version has no requests
//
// In every phase a Bad verdict reverts the rollout, and so does anything that keeps the new version
// from being served or judged. The trial lasts as long as the reserve permits, since some faults
// appear late. The reserve covers Shift and the streams that the old version is still running when
// Drain begins: its targets stop without draining once the rollout is complete. If they are still
// running at D, completion waits for them, at most for the longest timeout of a route.
//
// In a trial each host draws requests with the probability trialShare. The sum over all hosts is
// then binomial, so it stays within Limits.Share and Limits.Slack without any coordination. Slow
// services also use half of the slack, as they would get too few answers otherwise.
//
// Inputs: the elapsed time, the verdict on the answers so far, the numbers of requests reported by
// hosts, and whether the old version has requests.
const (
	// trialFraction is the part of Limits.Share used in a trial. The rest covers the deviation of a
	// binomial count.
	trialFraction = 0.8
	// slackFraction is the part of Limits.Slack that a trial is expected to use.
	slackFraction = 0.5
	// stopFraction is the part of Limits.Slack above which exposure stops the trial. The rest covers
	// requests that have not been reported yet.
	stopFraction = 0.8
	// maxTrialShare bounds the share of slow services, so that the old version is observed as well.
	maxTrialShare = AllRequests / 2
	// minShareChange is the smallest change of a trial's share that is written to the log.
	minShareChange = 20
	// maxUncovered is the time after an order within which its leader begins to gather reports.
	maxUncovered = time.Second
	// minRateTime is the time covered from which the reported requests show the service's rate. Reports
	// are up to half a second late, so the rate would seem too low before.
	minRateTime = 2 * time.Second
	// reserveFraction of the duration, but at most maxReserve, is reserved for Shift and Drain.
	// Streams take some 5 s.
	reserveFraction = 0.55
	maxReserve      = 10 * time.Second
	// shiftFraction of the duration is the time between two steps of Shift, within the limits. Below
	// minShiftStep hosts would not learn of a step before the next one.
	shiftFraction = 0.05
	minShiftStep  = 300 * time.Millisecond
	maxShiftStep  = time.Second
	// progressInterval is the time between two writes of the elapsed time.
	progressInterval = time.Second
)

// shiftShares are the shares of the steps of Shift.
var shiftShares = [...]int{AllRequests / 4, AllRequests / 2}

// Limits bound a rollout. They come from the settings.
type Limits struct {
	// Share is the largest share of a service's requests that a bad version may get, as a fraction;
	// Slack is a number of requests beyond it. Rollouts are disabled if Share is 0.
	Share float64
	Slack float64
	// Revert is the time after which no host may send requests to a version that was found bad.
	Revert time.Duration
}

// Verdict is a judgement on a new version.
type Verdict int

// Verdicts.
const (
	Undecided Verdict = iota
	Good
	Bad
)

// String returns the verdict in lower case.
func (v Verdict) String() string { return [...]string{"undecided", "good", "bad"}[v] }

// Observation is what the leader knows of a running rollout.
type Observation struct {
	// Elapsed is the time since the order.
	Elapsed time.Duration
	Verdict Verdict
	// Reason is why the verdict is Bad.
	Reason string
	// Requests is the number of the service's requests reported by hosts, Exposed the number of those
	// sent to the new version, both within Covered: a new leader gathers reports anew.
	Requests int
	Exposed  int
	Covered  time.Duration
	// OldIdle is set if no host may send requests to the old version and its targets have none,
	// InForce if no host may serve by an earlier phase.
	OldIdle bool
	InForce bool
	// LongestRequest is the longest timeout of the service's routes.
	LongestRequest time.Duration
	// Obstacle is why the rollout cannot go on; empty if it can.
	Obstacle string
}

// TrialEnd returns the elapsed time at which the trial ends.
func (r Rollout) TrialEnd() time.Duration {
	reserve := time.Duration(reserveFraction * float64(r.Duration))
	return r.Duration - min(reserve, maxReserve)
}

// shiftStep returns the time between two steps of Shift.
func (r Rollout) shiftStep() time.Duration {
	return min(max(time.Duration(shiftFraction*float64(r.Duration)), minShiftStep), maxShiftStep)
}

// Next returns the leader's next step of a running rollout; due is false if there is none yet.
func (r Rollout) Next(limits Limits, o Observation) (next Progress, due bool) {
	next = Progress{Order: r.Order, Phase: r.Phase, Share: r.Share, Elapsed: o.Elapsed}
	switch {
	case !r.IsRunning():
		return next, false
	case o.Obstacle != "":
		return next.reverted(o.Obstacle), true
	case o.Verdict == Bad:
		return next.reverted(o.Reason), true
	}
	switch r.Phase {
	case Trial:
		next = r.nextInTrial(next, limits, o)
	case Shift:
		next = r.nextInShift(next, o)
	case Drain:
		if o.OldIdle || o.InForce && o.Elapsed > max(r.Duration, r.PhaseAt+o.LongestRequest) {
			next.Phase = Complete
		}
	case None, Complete, Reverted:
	}
	due = next.Phase != r.Phase || next.Share != r.Share || o.Elapsed-r.Elapsed >= progressInterval
	return next, due
}

func (p Progress) reverted(reason string) Progress {
	p.Phase, p.Share, p.Reason = Reverted, 0, reason
	return p
}

func (r Rollout) nextInTrial(next Progress, limits Limits, o Observation) Progress {
	if o.Elapsed < r.TrialEnd() {
		next.Share = r.trialShare(limits, o)
		return next
	}
	if o.Verdict != Good {
		return next.reverted("not enough answers to judge the version")
	}
	next.Phase, next.Share = Shift, shiftShares[0]
	return next
}

func (r Rollout) nextInShift(next Progress, o Observation) Progress {
	step := int((o.Elapsed - r.PhaseAt) / r.shiftStep())
	if step < len(shiftShares) {
		next.Share = shiftShares[step]
		return next
	}
	next.Phase, next.Share = Drain, AllRequests
	return next
}

// trialShare returns the share of new requests for the trial. It keeps the present one unless the
// change is large enough to justify a write.
func (r Rollout) trialShare(limits Limits, o Observation) int {
	slack := limits.Slack
	if o.Elapsed-o.Covered > maxUncovered {
		// An earlier leader may have used the slack.
		slack = 0
	}
	if float64(o.Exposed) > limits.Share*float64(o.Requests)+stopFraction*slack {
		return 0
	}
	share := trialFraction * limits.Share
	if o.Requests > 0 && o.Covered >= minRateTime {
		expected := float64(o.Requests) / o.Covered.Seconds() * r.TrialEnd().Seconds()
		share += slackFraction * slack / expected
	}
	wanted := min(int(AllRequests*share), maxTrialShare)
	if change := wanted - r.Share; r.Share > 0 && change > -minShareChange && change < minShareChange {
		return r.Share
	}
	return wanted
}
