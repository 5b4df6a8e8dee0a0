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
package canary

import (
	"time"

	"github.com/yardhall/yardhall/core/rollouts"
)

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
	// response; 0 if it is unknown.
	Pace time.Duration
}

// Evidence counts requests and answers by rollout, version and route. It is immutable; the zero value
// is empty.
type Evidence struct{}

// WithRequest counts a request by its first attempt.
func (e Evidence) WithRequest(Side) Evidence { return e }

// WithAnswer counts an answer.
func (e Evidence) WithAnswer(Side, Answer) Evidence { return e }

// Merge returns the sum of two counts.
func (e Evidence) Merge(Evidence) Evidence { return e }

// Of returns the evidence on one rollout alone.
func (e Evidence) Of(order uint64) Evidence { return e }

// IsEmpty reports whether nothing has been counted.
func (e Evidence) IsEmpty() bool { return true }

// Encode returns the evidence in its wire format; nil if it is empty.
func (e Evidence) Encode() []byte { return nil }

// Decode reads what Encode returned.
func Decode([]byte) (Evidence, error) { return Evidence{}, nil }

// Requests returns the number of requests counted, and of those sent to the new version.
func (e Evidence) Requests(order uint64) (all, exposed int) { return 0, 0 }

// Judgement is a verdict on a new version, with what it is based on.
type Judgement struct {
	Verdict rollouts.Verdict
	// Reason is why the verdict is Bad; empty otherwise.
	Reason string
	// Old and New are the counts of both versions over all routes.
	Old, New Totals
}

// Totals sums the answers of one version.
type Totals struct {
	Answers, Failed, Slow int
}

// Judge returns the verdict on the new version of a rollout.
func (e Evidence) Judge(order uint64) Judgement { return Judgement{} }
