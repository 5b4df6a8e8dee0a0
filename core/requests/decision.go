// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/crashes"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
)

// Decision is what becomes of a request next, or what this host has come to believe. The
// set is closed.
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
		// Content identifies the request among those that are the same.
		Content crashes.Content
		// Rank is the priority to tell the worker; 0 goes first.
		Rank int
		// Deadline ends the attempt and the request.
		Deadline time.Time
		// Engine is true where the worker runs batches.
		Engine bool
		// CacheFrom is the address of an engine that may hold the prompt's shared parts
		// where Worker lacks them; empty for none.
		CacheFrom string
		// HeaderTimeout is when a HeaderTimedOut is due without a response header,
		// StallTimeout bounds the pause between events; 0 is up to the deadline.
		HeaderTimeout time.Duration
		StallTimeout  time.Duration
		// Inputs are what decided.
		Inputs Inputs
	}
	// Pause asks for a PauseEnded after a time, which yields the request's next decision.
	Pause struct {
		Request ident.Request
		// Worker is where the request goes if nothing speaks against that by then.
		Worker ident.Target
		For    time.Duration
	}
	// Wait keeps a request until a later event yields its next decision.
	Wait struct{ Request ident.Request }
	// Finish ends a request.
	Finish struct {
		Request ident.Request
		Verdict Verdict
		Inputs  Inputs
	}
	// CancelAttempt ends the present attempt of a request, which goes to another worker then.
	CancelAttempt struct{ Request ident.Request }
	// AbortAttempt ends an attempt whose worker has ended since. It is reported as broken.
	AbortAttempt struct {
		Request ident.Request
		Attempt int
	}
	// ProbeConnection asks for a connection to a worker that carries no request, and for
	// a ProbeEnded that tells what came of it.
	ProbeConnection struct{ Worker registry.Worker }
	// WorkerChanged tells, for the log, that this host's belief in a worker changed.
	WorkerChanged struct {
		Worker  registry.Worker
		Healthy bool
		// Failures is the row of failures that led to it; Why says what was seen.
		Failures int
		Reason   string
	}
	// WorkerCrashed tells, for the log, that a worker's process ended under Requests of this
	// host.
	WorkerCrashed struct {
		Worker   ident.Target
		Requests int
	}
	// ZoneChanged tells, for the log, that a zone became unreachable or reachable.
	ZoneChanged struct {
		Zone      ident.Zone
		Reachable bool
		// AllOthers is set where all other zones are unreachable as well; LastFailed is
		// the worker that was one too many.
		AllOthers  bool
		LastFailed ident.Target
	}
)

func (Dispatch) decision()        {}
func (Pause) decision()           {}
func (Wait) decision()            {}
func (Finish) decision()          {}
func (CancelAttempt) decision()   {}
func (AbortAttempt) decision()    {}
func (ProbeConnection) decision() {}
func (WorkerChanged) decision()   {}
func (WorkerCrashed) decision()   {}
func (ZoneChanged) decision()     {}

// Inputs are what a decision was made from, for the log.
type Inputs struct {
	// TableNumber is the route table's, ConfigAge the time since the table was confirmed;
	// negative where it never was.
	TableNumber uint64
	ConfigAge   time.Duration
	// Load is the worker's, as estimated, in requests; LoadAge the age of the part that
	// is of other hosts. Mean is the candidates' mean load.
	Load     int
	LoadAge  time.Duration
	MeanLoad float64
	// Position is the worker's position in the order of preference, 0 for the first;
	// Candidates is how many there were.
	Position   int
	Candidates int
	// Kind says how the attempt came about, LastResort that no worker was available.
	Kind       AttemptKind
	LastResort bool
	// DeclinedAgo is the time since the worker last declined a request of this host,
	// negative where it never did; BackoffLeft is what is left of its backoff.
	DeclinedAgo time.Duration
	BackoffLeft time.Duration
}

// AttemptKind says how an attempt came about.
type AttemptKind string

// Kinds of attempts.
const (
	FirstAttempt AttemptKind = "first"
	// RetryAttempt goes to another worker, ResendAttempt to the one that declined.
	RetryAttempt  AttemptKind = "retry"
	ResendAttempt AttemptKind = "resend"
)

// Verdict is how a request ended for its caller.
type Verdict struct {
	Outcome outcome.Kind
	Code    Code
	Reason  string
	// RetryAfter is when the caller may come back; 0 is no advice.
	RetryAfter time.Duration
	// TryOtherHost is set where another host likely takes the request, and this one will
	// not for a while: the caller's connection shall not bring it more.
	TryOtherHost bool
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
	CodeCrashes    Code = "crashes_workers"
	CodeDrained    Code = "zones_drained"
)
