// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package outcome defines whether a caller's request ran, did not run, or may
// have run.
//
// # Usage
//
// Kind is sent in response headers and written to logs:
//
//   - Ran: the target's complete answer was received.
//   - NotRun: no attempt sent a byte to a target, or every target reached
//     reported, as its contract requires, that it did not run the request, and
//     no earlier attempt with the same idempotency key may have run.
//   - Unknown: everything else.
package outcome

import "time"

// Kind is the outcome of a request.
type Kind string

// Outcomes of a request.
const (
	Ran     Kind = "ran"
	NotRun  Kind = "not-run"
	Unknown Kind = "unknown"
)

// Attempt is the result of one attempt at one target. The set of types is closed.
type Attempt interface{ attempt() }

type (
	// Answered means that the target's complete answer was received.
	Answered struct {
		Status int
		// Tokens is the number of tokens generated, if the target reports it.
		Tokens int
		// CachedTokens is the number of prompt tokens served from the prefix cache.
		CachedTokens int
		PromptTokens int
		// Pace is the mean pause between the events of a stream, or the time until the header of
		// another response; 0 if it is unknown.
		Pace time.Duration
	}
	// NeverSent means that no byte was written to the target.
	NeverSent struct {
		Reason string
		// ConnectTimedOut is set if connecting timed out, ConnectRefused if the connection was
		// refused because no process listens at the address.
		ConnectTimedOut bool
		ConnectRefused  bool
		// NoPath is set if the target was not tried, as no host was found that reaches it.
		NoPath bool
		// Withheld is set if this host decided not to send to the target after all.
		Withheld bool
	}
	// Declined means that the target reported that it did not run the request.
	Declined struct {
		Reason string
		// Leaving is set if the target declined because it is leaving, or if another process
		// answered at its address (status 421).
		Leaving bool
		// RetryAfter is the delay that the target asks for before another attempt; 0 if it
		// gave none.
		RetryAfter time.Duration
	}
	// Interrupted means that bytes were sent but the complete answer was not received.
	Interrupted struct {
		Reason string
		// AnswerStarted is set if the caller has already received part of the answer.
		AnswerStarted bool
		// TimedOut is set if nothing was received within the time allowed.
		TimedOut bool
	}
	// Abandoned means that the caller disconnected before the answer was complete; Sent is
	// set if bytes had been sent to the target.
	Abandoned struct{ Sent bool }
)

func (Answered) attempt()    {}
func (NeverSent) attempt()   {}
func (Declined) attempt()    {}
func (Interrupted) attempt() {}
func (Abandoned) attempt()   {}

// Of returns the outcome of a request whose only attempt ended with a.
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

// Combine returns the outcome of a request with attempts of outcomes a and b: if one
// attempt may have run, another that did not run does not make the request NotRun.
func Combine(a, b Kind) Kind {
	if a == Ran || b == Ran {
		return Ran
	}
	if a == Unknown || b == Unknown {
		return Unknown
	}
	return NotRun
}
