// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"

	"github.com/yardhall/yardhall/core/confirmation"
	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/loads"
	"github.com/yardhall/yardhall/core/origins"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
)

// Event is an input of Reduce. The set is closed.
type Event interface{ event() }

type (
	// Arrived is a caller's request.
	Arrived struct{ Request Request }
	// ZonesSilent reports the zones whose replicas have stopped replying; all others reply, or are
	// not known.
	ZonesSilent struct{ Zones []ident.Zone }
	// HeaderReceived reports the response header of an attempt, with what the worker reports
	// about itself; a Load without Slots is no report.
	HeaderReceived struct {
		Request ident.Request
		Attempt int
		Worker  ident.Target
		// NewConnection is set if the attempt opened a connection to the worker, Tunneled if it went
		// through another host.
		NewConnection bool
		Tunneled      bool
		// Declined is set if the response says that the request was not run.
		Declined bool
		Notice   Notice
		Load     Load
		// Route is the name of the request's route; Took is the time since the request was sent
		// to the worker.
		Route string
		Took  time.Duration
		// OpenedAt is when the connection was opened; zero if the response may answer another request.
		OpenedAt time.Time
	}
	// Connected reports that an attempt's request is about to be written, over MaxUncheckedDelay after
	// its Dispatch or if that asks for it. It yields a CancelAttempt if the worker must not get it any more.
	Connected struct {
		Request ident.Request
		Attempt int
		// OpenedAt is when the connection was opened, if Dispatch asks for the event.
		OpenedAt time.Time
	}
	// HeaderTimedOut reports that no response header arrived within the HeaderTimeout of a
	// Dispatch. It yields a CancelAttempt if the request can be sent to another worker.
	HeaderTimedOut struct {
		Request ident.Request
		Attempt int
		Waited  time.Duration
	}
	// ResponseUnmatched reports a response that may not belong to the attempt over whose connection it came. It
	// yields a CancelAttempt if the request can be sent to another worker.
	ResponseUnmatched struct {
		Request ident.Request
		Attempt int
	}
	// StreamBegun reports that a caller is about to get the first event of a resumable stream.
	StreamBegun struct {
		Request ident.Request
		Attempt int
	}
	// OriginFound reports which service and version began a stream.
	OriginFound struct {
		Stream hash.Key
		Origin origins.Origin
	}
	// ProcessSeen reports what a replica or hub knows of a process of a worker.
	ProcessSeen struct{ Life registry.Life }
	// AttemptEnded reports how an attempt ended.
	AttemptEnded struct {
		Request ident.Request
		Attempt int
		Result  outcome.Attempt
		// CallerWaiting is false if the caller has the answer or has left.
		CallerWaiting bool
	}
	// PauseEnded reports that the time of a Pause is over.
	PauseEnded struct {
		Request ident.Request
		// CallerWaiting is false if the caller has left.
		CallerWaiting bool
	}
	// Expired reports that a request's deadline has passed.
	Expired struct{ Request ident.Request }
	// Registered carries registrations of workers, reported by a replica or hub.
	Registered struct {
		From    ident.Host
		Workers []registry.Worker
	}
	// LoadsReported carries the numbers of other hosts' requests at workers, as of a time.
	LoadsReported struct {
		Loads loads.Digest
		AsOf  time.Time
	}
	// Confirmed reports that the route table held was the newest one as of a time.
	Confirmed struct{ confirmation.Confirmation }
	// ProbeEnded reports whether the connection of a ProbeConnection was established.
	ProbeEnded struct {
		Worker ident.Target
		OK     bool
		// Refused is set if the connection was refused: no process listens at the address. TimedOut
		// is set if it timed out.
		Refused  bool
		TimedOut bool
	}
	// TunnelRefused reports that a peer opened no tunnel to a worker, for a reason of its own.
	TunnelRefused struct{ Peer ident.Host }
	// Withdrawn reports that the caller of a waiting request has left.
	Withdrawn struct{ Request ident.Request }
	// Stopping reports that a planned stop has begun, and when it ends.
	Stopping struct{ EndsAt time.Time }
	// HeadReceived carries a request during a planned stop whose body was not read yet. There is a decision only if the request
	// is refused.
	HeadReceived struct{ Request Request }
	// Stopped ends a request at the end of a planned stop. Result is that of the attempt that was cut; nil if there was none.
	Stopped struct {
		Request ident.Request
		Result  outcome.Attempt
	}
	// Closing stops the admission of new requests, late in a planned stop.
	Closing struct{}
	// Tick advances time for waiting requests.
	Tick struct{}
)

func (ZonesSilent) event()       {}
func (Arrived) event()           {}
func (HeaderReceived) event()    {}
func (ResponseUnmatched) event() {}
func (HeaderTimedOut) event()    {}
func (Connected) event()         {}
func (StreamBegun) event()       {}
func (OriginFound) event()       {}
func (ProcessSeen) event()       {}
func (AttemptEnded) event()      {}
func (PauseEnded) event()        {}
func (Expired) event()           {}
func (Registered) event()        {}
func (LoadsReported) event()     {}
func (Confirmed) event()         {}
func (ProbeEnded) event()        {}
func (TunnelRefused) event()     {}
func (Withdrawn) event()         {}
func (Closing) event()           {}
func (Stopping) event()          {}
func (HeadReceived) event()      {}
func (Stopped) event()           {}
func (Tick) event()              {}

// Request is what the gateway has read of a request.
type Request struct {
	ID   ident.Request
	Host string
	Path string
	// KeyHash is the hex SHA-256 of the caller's key; empty if there is none.
	KeyHash string
	// Deadline is when the caller stops waiting; zero if it did not say.
	Deadline time.Time
	// Prompt describes a request to an engine; zero for plain services.
	Prompt Prompt
	// Resumed is set if the caller resumes an interrupted stream.
	Resumed bool
	// Resumes is the request that brought the first event of a resumed stream; empty if the caller
	// does not name it.
	Resumes ident.Request
	// Digest is a cryptographic hash of method, host, path, query and body; empty if unknown.
	Digest []byte
}

// Prompt describes the input and output of a request to an engine, in tokens.
type Prompt struct {
	Model     ident.Model
	TokensIn  int
	TokensOut int
	// Parts are the prompt's parts in order; the last belongs to the request or its session.
	Parts []Part
}

// SharedParts returns the parts that other prompts may have too: all but the last.
func (p Prompt) SharedParts() []Part { return p.Parts[:max(0, len(p.Parts)-1)] }

// sharedTokens returns the number of tokens that other requests may share: all but those of the
// last part.
func (p Prompt) sharedTokens() int {
	tokens := 0
	for _, part := range p.SharedParts() {
		tokens += part.Tokens
	}
	return tokens
}

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Load is a worker's own report of its load, in requests.
type Load struct {
	Running int
	Waiting int
	Slots   int
}
