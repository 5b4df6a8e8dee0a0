// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"

	"github.com/yardhall/yardhall/core/confirmation"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/loads"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
)

// Event is what a State reacts to. The set is closed.
type Event interface{ event() }

type (
	// Arrived is a caller's request.
	Arrived struct{ Request Request }
	// HeaderReceived reports that an answer to an attempt has begun, and what the worker
	// said of itself with it; a Load without Slots is no report.
	HeaderReceived struct {
		Request ident.Request
		Attempt int
		Worker  ident.Target
		// Declined is set where the answer says that the request has not run.
		Declined bool
		Notice   Notice
		Load     Load
		// Route is the request's, Took the time since it was sent to the worker.
		Route string
		Took  time.Duration
	}
	// HeaderTimedOut reports that no response header has come within the HeaderTimeout of a
	// Dispatch. It yields a CancelAttempt where the request goes to another worker.
	HeaderTimedOut struct {
		Request ident.Request
		Attempt int
		Waited  time.Duration
	}
	// AttemptEnded reports how an attempt at a worker ended.
	AttemptEnded struct {
		Request ident.Request
		Attempt int
		Result  outcome.Attempt
		// CallerWaiting is false where the caller has the answer or has left.
		CallerWaiting bool
	}
	// PauseEnded reports that the time of a Pause is over.
	PauseEnded struct {
		Request ident.Request
		// CallerWaiting is false where the caller has left.
		CallerWaiting bool
	}
	// Expired reports that a request's time is over.
	Expired struct{ Request ident.Request }
	// Registered are workers' registrations, as a replica or hub reports them.
	Registered struct {
		From    ident.Host
		Workers []registry.Worker
	}
	// LoadsReported are the requests that other hosts have at workers, as of a time.
	LoadsReported struct {
		Loads loads.Digest
		AsOf  time.Time
	}
	// Confirmed reports that the route table held was the newest one, as of a time.
	Confirmed struct{ confirmation.Confirmation }
	// ProbeEnded reports whether the connection of a ProbeConnection came up.
	ProbeEnded struct {
		Worker ident.Target
		OK     bool
		// Refused is set where the connection was refused: no process listens there.
		Refused bool
	}
	// Withdrawn reports that the caller of a request that waits has left.
	Withdrawn struct{ Request ident.Request }
	// Closing makes the host take no new requests, late in a planned stop.
	Closing struct{}
	// Tick lets time pass for requests that wait.
	Tick struct{}
)

func (Arrived) event()        {}
func (HeaderReceived) event() {}
func (HeaderTimedOut) event() {}
func (AttemptEnded) event()   {}
func (PauseEnded) event()     {}
func (Expired) event()        {}
func (Registered) event()     {}
func (LoadsReported) event()  {}
func (Confirmed) event()      {}
func (ProbeEnded) event()     {}
func (Withdrawn) event()      {}
func (Closing) event()        {}
func (Tick) event()           {}

// Request is what the front door has read of a request.
type Request struct {
	ID ident.Request
	// Host and Path choose the route.
	Host string
	Path string
	// KeyHash is the hex SHA-256 of the caller's key; empty where none came.
	KeyHash string
	// Deadline is when the caller stops waiting; zero where it did not say.
	Deadline time.Time
	// Prompt describes a request to an engine; zero for plain services.
	Prompt Prompt
	// Resumed is set where the caller goes on with a stream that broke off.
	Resumed bool
	// Digest is a cryptographic hash of method, host, path, query and body; empty where it
	// is not known.
	Digest []byte
}

// Prompt describes what an engine will read and make.
type Prompt struct {
	Model     ident.Model
	TokensIn  int
	TokensOut int
	// Parts are the prompt's parts in order; the last belongs to the request
	// or to its session.
	Parts []Part
}

// shared is how many tokens of the prompt other requests may share: all but those of the
// last part.
func (p Prompt) shared() int {
	tokens := 0
	for _, part := range p.Parts[:max(0, len(p.Parts)-1)] {
		tokens += part.Tokens
	}
	return tokens
}

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Load is a worker's own report of how busy it is, in requests.
type Load struct {
	Running int
	Waiting int
	Slots   int
}
