// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"time"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/health"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/raft"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// Event is an input of Reduce. The set is closed.
type Event interface{ event() }

type (
	// Tick drives timeouts and periodic work.
	Tick struct{}
	// Suspended reports the total time that the machine was suspended since the process
	// started. Event times are ahead of the time of day by this much.
	Suspended struct{ Total time.Duration }
	// MessageReceived delivers a message from another host.
	MessageReceived struct {
		From    ident.Host
		Message Message
	}
	// RequestArrived delivers a caller's request.
	RequestArrived struct{ Request Request }
	// AttemptEnded reports the result of an attempt on a target.
	AttemptEnded struct {
		Request ident.Request
		Attempt int
		Result  outcome.Attempt
	}
	// LoadReported delivers a target's load report. Failed is set if the target returned none,
	// and Refused if it refused the connection.
	LoadReported struct {
		Target      ident.Target
		Failed      bool
		Refused     bool
		Incarnation uint64
		Seq         uint64
		InFlight    int
		Leaving     bool
	}
	// TargetsListed delivers the platform's list of targets.
	TargetsListed struct{ Targets []ListedTarget }
	// WriteSubmitted submits a write by an operator or by this process.
	WriteSubmitted struct {
		Write    catalog.Write
		Deadline time.Time
	}
	// OrderEnded reports the result of an order to an engine.
	OrderEnded struct {
		Order Order
		OK    bool
		Error string
	}
	// EntriesPersisted reports that a raft.Persist is on disk.
	EntriesPersisted struct{ Persisted raft.Persisted }
	// DeparturesPersisted reports that the departures of a PersistDepartures are on disk up to a position.
	DeparturesPersisted struct{ Position uint64 }
	// Drain starts a graceful shutdown of this process.
	Drain struct{}
	// ReplicaChange asks the leader to add, promote or remove a replica.
	ReplicaChange struct {
		Member raft.Member
		Remove bool
	}
	// RequestEvent delivers an event for core/requests, which serves the route table.
	RequestEvent struct{ Event requests.Event }
	// HeartbeatReceived delivers a worker's heartbeat. The transition emits a HeartbeatAnswer.
	HeartbeatReceived struct{ Worker registry.Worker }
	// HeartbeatUnreadable reports a heartbeat or a deregistration that could not be decoded.
	// The transition emits a HeartbeatAnswer.
	HeartbeatUnreadable struct {
		Worker ident.Target
		Reason string
	}
	// DeregistrationReceived deregisters the worker process with incarnation Born, or the
	// registered one if Born is 0. The transition emits a HeartbeatAnswer.
	DeregistrationReceived struct {
		Worker ident.Target
		Born   registry.Incarnation
	}
	// ReadSubmitted asks whether this host's configuration is the newest one.
	ReadSubmitted struct {
		ID       string
		Deadline time.Time
	}
	// SeedsChanged replaces the seed addresses of the replicas.
	SeedsChanged struct{ Seeds []ident.Host }
)

func (Tick) event()                   {}
func (Suspended) event()              {}
func (MessageReceived) event()        {}
func (RequestArrived) event()         {}
func (AttemptEnded) event()           {}
func (LoadReported) event()           {}
func (TargetsListed) event()          {}
func (WriteSubmitted) event()         {}
func (OrderEnded) event()             {}
func (EntriesPersisted) event()       {}
func (DeparturesPersisted) event()    {}
func (Drain) event()                  {}
func (ReplicaChange) event()          {}
func (RequestEvent) event()           {}
func (HeartbeatReceived) event()      {}
func (HeartbeatUnreadable) event()    {}
func (DeregistrationReceived) event() {}
func (ReadSubmitted) event()          {}
func (SeedsChanged) event()           {}

// ListedTarget is an entry of the platform's list of targets.
type ListedTarget struct {
	ID      ident.Target
	Listing health.Listing
}

// Request is a caller's request as parsed by the HTTP front end.
type Request struct {
	ID ident.Request
	// KeyHash is the hex SHA-256 of the caller's key.
	KeyHash string
	// Model is set for inference requests, Service and Path for plain services.
	Model   ident.Model
	Service ident.Service
	Path    string
	Class   ident.Class
	Chat    hash.Key
	Work    int64
	// AtMostOnce is set if the caller marks the request as not repeatable.
	AtMostOnce bool
	// IdempotencyKey identifies the logical request; the caller created it at KeyCreated.
	IdempotencyKey string
	KeyCreated     time.Time
	Digest         uint64
	Deadline       time.Time
}

// Order is an order to an engine, fenced by Token.
type Order struct {
	Plan   ident.Plan
	Step   int
	Token  uint64
	Action string
	Model  ident.Model
	Target config.Target
	Bytes  int64
	// NotAfter is the time after which the order must not be sent.
	NotAfter time.Time
}
