// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/crashes"
	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
)

// Decision is what happens next to a request, or a change in this host's view of workers and
// zones. The set is closed.
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
		// Content identifies requests with the same content.
		Content crashes.Content
		// Rank is the priority passed to the worker; 0 is the most urgent.
		Rank int
		// Deadline ends the attempt and the request.
		Deadline time.Time
		// Engine is set if the worker runs batches.
		Engine bool
		// CacheFrom is the address of an engine that may have the prompt's shared parts cached if
		// Worker does not; empty if there is none.
		CacheFrom string
		// HeaderTimeout is when a HeaderTimedOut is due without a response header; StallTimeout
		// bounds the gap between events. 0 means until the deadline.
		HeaderTimeout time.Duration
		StallTimeout  time.Duration
		// Path is how the worker is reached.
		Path Path
		// ReportsConnection asks for a Connected before the request is written, whatever the time since the decision.
		ReportsConnection bool
		// DecidedAt is the time of the decision.
		DecidedAt time.Time
		Inputs    Inputs
	}
	// Pause asks for a PauseEnded after a time; that event yields the request's next decision.
	Pause struct {
		Request ident.Request
		// Worker is the worker to which the request is then resent, unless it becomes unavailable.
		Worker ident.Target
		For    time.Duration
	}
	// Wait queues a request; a later event yields its next decision.
	Wait struct{ Request ident.Request }
	// Finish ends a request.
	Finish struct {
		Request ident.Request
		Verdict Verdict
		Inputs  Inputs
	}
	// CancelAttempt ends the current attempt of a request, which is then sent to another worker. Before the
	// request was written, the attempt ends as NeverSent and Withheld.
	CancelAttempt struct{ Request ident.Request }
	// AbortAttempt ends an attempt whose worker's process has ended. It is then reported as
	// interrupted.
	AbortAttempt struct {
		Request ident.Request
		Attempt int
	}
	// ProbeConnection asks for a connection to a worker without a request, and for a ProbeEnded
	// with the result.
	ProbeConnection struct{ Worker registry.Worker }
	// LookUpOrigin asks for an OriginFound with the origin of a stream, if any replica or hub knows it.
	LookUpOrigin struct{ Stream hash.Key }
	// LookUpProcess asks for a ProcessSeen with what replicas and hubs know of the present process of a worker. It is
	// Urgent if a stream waits for it.
	LookUpProcess struct {
		Worker ident.Target
		Urgent bool
	}
	// WorkerChanged reports, for the log, a change in this host's view of a worker.
	WorkerChanged struct {
		Worker  registry.Worker
		Healthy bool
		// Failures is the number of consecutive failures; Reason is what caused the change.
		Failures int
		Reason   string
	}
	// WorkerCrashed reports, for the log, that a worker's process ended while it ran Requests of
	// this host.
	WorkerCrashed struct {
		Worker   ident.Target
		Requests int
	}
	// ContactChanged reports, for the log, that the host lost contact with all workers, or found it
	// again by the worker Reached.
	ContactChanged struct {
		Found      bool
		Reached    ident.Target
		LastFailed ident.Target
		// TimedOut is set if connections timed out, rather than being refused.
		TimedOut bool
	}
	// ZoneChanged reports, for the log, that a zone became unreachable or reachable.
	ZoneChanged struct {
		Zone      ident.Zone
		Reachable bool
		// AllOthers is set if all other zones are unreachable as well; LastFailed is the worker
		// whose failure reached the threshold.
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
func (LookUpOrigin) decision()    {}
func (LookUpProcess) decision()   {}
func (WorkerChanged) decision()   {}
func (WorkerCrashed) decision()   {}
func (ContactChanged) decision()  {}
func (ZoneChanged) decision()     {}

// Inputs are what a decision was based on, for the log.
type Inputs struct {
	// TableNumber is the route table's number; ConfigAge is the time since the table was
	// confirmed, negative if it never was.
	TableNumber uint64
	ConfigAge   time.Duration
	// Load is the estimated load of the worker in requests; LoadAge is the age of the part
	// reported by other hosts. MeanLoad is the mean load of the pool.
	Load     int
	LoadAge  time.Duration
	MeanLoad float64
	// LoadBound is the bound on an engine's load, 0 for plain workers. LoadAged is set if the load is too old to
	// be relied on, so that the host kept to its part of the bound; LoadTold is set if the worker told the load itself.
	LoadBound float64
	LoadAged  bool
	LoadTold  bool
	// Prefix identifies the parts of a prompt that requests share; 0 if there are none. PrefixShare is the
	// estimated share of the prompts to the pool that have it, 0 if it is not popular. PrefixEngines is the number of engines over
	// which a popular prefix is spread.
	Prefix        hash.Key
	PrefixShare   float64
	PrefixEngines int
	// PrefixCountsAge is the time since counts of all hosts' prompts were received, negative if there are none, so that this host's own prompts
	// decide. PrefixCountsDelay is how long they may lack what hosts reported, PrefixCountedBy the host that counted them, and PrefixFrequentFor the time
	// since they have shown the prefix.
	PrefixCountsAge   time.Duration
	PrefixCountsDelay time.Duration
	PrefixCountedBy   ident.Host
	PrefixFrequentFor time.Duration
	// Position is the worker's rank in the rendezvous order, 0 for the first; Candidates is the
	// number of candidates.
	Position   int
	Candidates int
	// Kind is the reason for the attempt; LastResort is set if no worker was available.
	Kind       AttemptKind
	LastResort bool
	// DeclinedAgo is the time since the worker last declined a request of this host, negative if
	// it never did; BackoffLeft is the remaining time of its backoff.
	DeclinedAgo time.Duration
	BackoffLeft time.Duration
	// DeparturesAge is the time since this host last knew all workers that leave, negative if it never did.
	DeparturesAge time.Duration
	// Rollout is set if the request was drawn for the version that is being rolled out.
	Rollout bool
}

// AttemptKind is the reason for an attempt.
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
	// RetryAfter is when the caller may retry; 0 gives no advice.
	RetryAfter time.Duration
	// TryOtherHost is set if another host can likely serve the request and this one cannot for a
	// while: the caller's connection should be closed.
	TryOtherHost bool
}

// Code is the machine-readable reason of a Verdict.
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
	// CodeNoVersion refuses a stream whose version has no worker for it, CodeVersionUnknown one of which
	// the version is not known.
	CodeNoVersion      Code = "version_unavailable"
	CodeVersionUnknown Code = "version_unknown"
)
