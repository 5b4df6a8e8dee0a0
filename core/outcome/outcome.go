// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package outcome says what became of a caller's request.
//
// # Usage
//
// Kind travels in headers and logs; the rules of proof are:
//
//   - Ran: the target's whole answer was received.
//   - NotRun: no byte of any attempt reached a target, or each target reached
//     said by its contract that it did not run it, and no earlier attempt
//     under the same key may have run.
//   - Unknown: everything else.
package outcome

import "time"

// Kind is the outcome of a request.
type Kind string

// Kinds of outcome.
const (
	Ran     Kind = "ran"
	NotRun  Kind = "not-run"
	Unknown Kind = "unknown"
)

// Attempt is how one try on one target ended. The set is closed.
type Attempt interface{ attempt() }

type (
	// Answered means that the whole answer of the target was received.
	Answered struct {
		Status int
		// Tokens are the tokens generated, where the target says so.
		Tokens int
		// CachedTokens are the prompt tokens served from the prefix cache.
		CachedTokens int
		PromptTokens int
	}
	// NeverSent means that no byte was written to the target.
	NeverSent struct {
		Reason string
		// ConnectTimedOut is true where nobody answered a new connection in time, Refused where it
		// was refused, as no process listens there.
		ConnectTimedOut bool
		ConnectRefused  bool
	}
	// Declined means that the target said that it did not run the request.
	Declined struct {
		Reason string
		// Leaving is true where it declined as it is being stopped.
		Leaving bool
		// RetryAfter is when the target may be tried again, as it says; 0 for no advice.
		RetryAfter time.Duration
	}
	// Interrupted means that bytes were sent and the whole answer did not come.
	Interrupted struct {
		Reason string
		// AnswerStarted is true where the caller has already seen part of it.
		AnswerStarted bool
		// TimedOut is true where nothing at all came in the time allowed.
		TimedOut bool
	}
	// Abandoned means that the caller left.
	Abandoned struct{ Sent bool }
)

func (Answered) attempt()    {}
func (NeverSent) attempt()   {}
func (Declined) attempt()    {}
func (Interrupted) attempt() {}
func (Abandoned) attempt()   {}

// Of returns the outcome that a single attempt proves.
func Of(a Attempt) Kind {
	switch a := a.(type) {
	case Answered:
		return Ran
	case NeverSent, Declined:
		return NotRun
	case Interrupted:
		return Unknown
	case Abandoned:
		if a.Sent {
			return Unknown
		}
		return NotRun
	}
	panic("outcome: attempt outside the closed set")
}

// Combine joins the outcomes of several attempts of one request: a later proof
// that the last one did not run does not clear an earlier one that may have.
func Combine(a, b Kind) Kind {
	if a == Ran || b == Ran {
		return Ran
	}
	if a == Unknown || b == Unknown {
		return Unknown
	}
	return NotRun
}
