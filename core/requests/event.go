// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/loads"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
)

// Event is what the gateway reacts to. The set is closed.
type Event interface{ event() }

type (
	// Arrived is a caller's request.
	Arrived struct{ Request Request }
	// HeadReceived reports that an answer has begun, and the load that the worker told
	// with it; without Slots it told none.
	HeadReceived struct {
		Worker ident.Target
		Load   Load
		// Route is the request's, Took the time since it was sent to the worker.
		Route string
		Took  time.Duration
	}
	// HeadLate reports that the head of an answer has not come within the time that a
	// Dispatch allowed. It yields a GiveUp where the request goes elsewhere.
	HeadLate struct {
		Request ident.Request
		Attempt int
		Waited  time.Duration
	}
	// AttemptEnded reports how a try at a worker ended.
	AttemptEnded struct {
		Request ident.Request
		Attempt int
		Result  outcome.Attempt
		// Wanted is false where the caller has the answer or has left.
		Wanted bool
	}
	// Expired reports that a request's time is over.
	Expired struct{ Request ident.Request }
	// Registered are registrations heard from a replica.
	Registered struct {
		From    ident.Host
		Workers []registry.Worker
	}
	// LoadsTold are the requests that other hosts have at workers, as of about a
	// time.
	LoadsTold struct {
		Loads loads.Digest
		AsOf  time.Time
	}
	// Confirmed reports that the configuration held was the newest one at AsOf.
	Confirmed struct{ AsOf time.Time }
	// Reached reports whether a connection that a Reconnect asked for came up.
	Reached struct {
		Worker ident.Target
		OK     bool
	}
	// Withdrawn reports that the caller of a request that waits has left.
	Withdrawn struct{ Request ident.Request }
	// Closing makes the gateway take no new requests, late in a planned stop.
	Closing struct{}
	// Tick lets time pass for requests that wait.
	Tick struct{}
)

func (Arrived) event()      {}
func (HeadReceived) event() {}
func (HeadLate) event()     {}
func (AttemptEnded) event() {}
func (Expired) event()      {}
func (Registered) event()   {}
func (LoadsTold) event()    {}
func (Confirmed) event()    {}
func (Reached) event()      {}
func (Withdrawn) event()    {}
func (Closing) event()      {}
func (Tick) event()         {}

// Request is what the caller's side has read of a request.
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

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Load is a worker's own word on how busy it is.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Decision is what becomes of a request next. The set is closed.
type Decision interface{ decision() }

type (
	// Dispatch sends the request to a worker.
	Dispatch struct {
		Request ident.Request
		Attempt int
		Worker  registry.Worker
		Route   config.Route
		// Account is the caller's; empty on a public route.
		Account ident.Account
		// Rank is the priority to tell the worker; 0 goes first.
		Rank int
		// Deadline ends the attempt and the request.
		Deadline time.Time
		// Engine is true where the worker runs batches.
		Engine bool
		// CacheFrom is the address of an engine that may keep the prompt's shared
		// parts where Worker lacks them; empty for none.
		CacheFrom string
		// HeadWait is when a HeadLate is due without the answer's head, Stall bounds
		// the pause between events; 0 is up to the deadline.
		HeadWait time.Duration
		Stall    time.Duration
		// Pause is kept before the request is sent.
		Pause time.Duration
		// Inputs are what decided.
		Inputs Inputs
	}
	// Wait keeps a request until a later event yields its next decision.
	Wait struct{ Request ident.Request }
	// Finish ends a request.
	Finish struct {
		Request ident.Request
		Verdict Verdict
		Inputs  Inputs
	}
)

// Believed tells of a change in what this host holds of a worker, for the log.
type Believed struct {
	Worker registry.Worker
	Usable bool
	// Failures is the row of failures that led to it; Why says what was seen.
	Failures int
	Why      string
}

// ZoneBelieved tells, for the log, that requests are kept from the workers of a zone,
// or no longer are.
type ZoneBelieved struct {
	Zone    ident.Zone
	Reached bool
	// Others is set where all other zones are kept from as well; Missed is the worker
	// that was one too many.
	Others bool
	Missed ident.Target
}

// Reconnect asks for a connection to a worker that carries no request, and for a
// Reached that tells what came of it.
type Reconnect struct{ Worker registry.Worker }

func (Believed) decision()     {}
func (ZoneBelieved) decision() {}
func (Reconnect) decision()    {}

// Inputs are what a decision was made from, for the log.
type Inputs struct {
	// Number is the route table's, ConfigAge the time since it was confirmed;
	// negative where it never was.
	Number    uint64
	ConfigAge time.Duration
	// Load is the worker's, as estimated; LoadAge the age of the part that other
	// hosts told. Mean is the pool's, Choice the worker's place in the order of
	// preference, Candidates how many there were.
	Load       int
	LoadAge    time.Duration
	Mean       float64
	Choice     int
	Candidates int
}

func (Dispatch) decision() {}
func (Wait) decision()     {}
func (Finish) decision()   {}

// Verdict is what the caller is told.
type Verdict struct {
	Outcome outcome.Kind
	Code    Code
	Reason  string
	// RetryAfter is when the caller may come back; 0 is no advice.
	RetryAfter time.Duration
	// Elsewhere is set where another host likely takes the request, and this one will
	// not for a while: the caller's connection shall not bring it more.
	Elsewhere bool
}

// Code is the machine-readable part of a Verdict.
type Code string

// Codes of a Verdict.
const (
	CodeOK         Code = "ok"
	CodeNoRoute    Code = "route_not_found"
	CodeBadKey     Code = "invalid_api_key"
	CodeNotReady   Code = "not_ready"
	CodeDraining   Code = "draining"
	CodeStale      Code = "configuration_stale"
	CodeDuplicate  Code = "request_id_in_use"
	CodeNoWorker   Code = "no_worker"
	CodeOverloaded Code = "overloaded"
	CodeBroken     Code = "worker_failed"
	CodeDeadline   Code = "deadline_exceeded"
	CodeCallerGone Code = "caller_gone"
)
