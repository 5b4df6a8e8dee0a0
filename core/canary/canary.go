// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package canary judges a new version of a service's targets by comparing its answers with those of
// the current version, on the same routes over the same time.
//
// Hosts count what they see in Evidence and send it to the leader, which merges and judges it.
//
// # Usage
//
//	e = e.WithRequest(canary.Side{Order: 7, New: true})
//	e = e.WithAnswer(canary.Side{Order: 7, New: true}, canary.Answer{Route: "r", Failed: true})
//	merged := e.Merge(other)
//	judgement := merged.Judge(7)
//
// # Error rates
//
// Each indicator is tested by Wald's sequential probability ratio test (A. Wald, "Sequential Tests of
// Statistical Hypotheses", Annals of Mathematical Statistics 16, 1945). If the share of bad answers of
// both versions is p, the likelihood ratio is a nonnegative supermartingale, so the probability that
// it ever reaches 1/a is at most a (J. Ville, "Étude critique de la notion de collectif", 1939). The
// bound holds for any number of judgements at any times: looking at fewer of the counts, as when
// evidence arrives in parts, lowers the probability. The tests of a rollout share rejectError.
//
// Three things are not as the theorem assumes, and are corrected for:
//   - p is estimated. Rejections use an upper confidence bound of it (see sprt.go); acceptances use
//     the estimate itself.
//   - Failures may be known earlier than successes, as a refusal takes less time than a stream. Where
//     the share of the new version rises, its failures would be counted before the answers that
//     belong to them. Requests without an answer therefore count as successes in rejections, and as
//     slow in acceptances where the current version has answered its own meanwhile.
//   - A version may turn bad after many good answers, which would outweigh the bad ones. Rejections
//     therefore use windows of windowSize answers, of which the i-th has the part 1/(i(i+1)) of the
//     error rate. This is the idea of repeated tests of E. S. Page ("Continuous Inspection Schemes",
//     Biometrika 41, 1954).
//
// Answers are assumed to be independent. They are not if few targets of the new version serve and one
// of them is slow or broken: such a version can be rejected for its target.
//
// The error rate of acceptances, acceptError, holds for a version whose share of bad answers is above
// that of the current one by minDifference.
package canary

import "time"

// Side is one of the two versions of a rollout.
type Side struct {
	// Order identifies the rollout.
	Order uint64
	// New is set for the version that is rolled out.
	New bool
}

// Answer is how an attempt ended.
type Answer struct {
	Route string
	// Failed is set if the target answered with a server error or broke its answer off.
	Failed bool
	// Pace is the mean pause between the events of a stream, or the time until the header of another
	// response; 0 if it is unknown. It is ignored if the answer failed, as errors are often fast.
	Pace time.Duration
}

// Evidence counts requests and answers by rollout, version and route. It is immutable; the zero value
// is empty.
//
// Sums are exact whatever the order of merges. If there are more routes than maxRoutes, those of the
// receiver of a merge keep their own counts.
type Evidence struct {
	// rollouts are sorted by order; never modified in place.
	rollouts []rollout
}

// WithRequest counts a request by its first attempt.
func (e Evidence) WithRequest(s Side) Evidence {
	w := window{requests: sides[int]{}.with(s.New, 1)}
	return e.Merge(Evidence{rollouts: []rollout{{order: s.Order, recent: w}}})
}

// WithAnswer counts an answer.
func (e Evidence) WithAnswer(s Side, a Answer) Evidence {
	r := route{name: a.Route, sides: sides[counts]{}.with(s.New, countsOf(a))}
	w := window{routes: []route{r.bounded()}}
	return e.Merge(Evidence{rollouts: []rollout{{order: s.Order, recent: w}}})
}

// Merge returns the sum of two counts.
func (e Evidence) Merge(other Evidence) Evidence {
	if len(other.rollouts) == 0 {
		return e
	}
	merged := mergeSorted(e.rollouts, other.rollouts, rollout.compare, rollout.merge)
	return Evidence{rollouts: merged[max(0, len(merged)-maxRollouts):]}
}

// Of returns the evidence on one rollout alone.
func (e Evidence) Of(order uint64) Evidence {
	if r, ok := e.rollout(order); ok {
		return Evidence{rollouts: []rollout{r}}
	}
	return Evidence{}
}

func (e Evidence) rollout(order uint64) (rollout, bool) {
	for _, r := range e.rollouts {
		if r.order == order {
			return r, true
		}
	}
	return rollout{}, false
}

// IsEmpty reports whether nothing has been counted.
func (e Evidence) IsEmpty() bool { return len(e.rollouts) == 0 }

// Requests returns the number of requests counted, and of those sent to the new version.
func (e Evidence) Requests(order uint64) (all, exposed int) {
	r, _ := e.rollout(order)
	n := r.total().requests
	return n.old + n.new, n.new
}
