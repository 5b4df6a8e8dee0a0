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

// Event is what a process reacts to. The set is closed.
type Event interface{ event() }

type (
	// Tick lets time pass.
	Tick struct{}
	// Suspended reports for how long in sum the machine was suspended since the process
	// started: by so much is the clock by which events come ahead of the time of day.
	Suspended struct{ Total time.Duration }
	// Received delivers a message of another host.
	Received struct {
		From    ident.Host
		Message Message
	}
	// Arrived is a caller's request.
	Arrived struct{ Request Request }
	// AttemptEnded reports how a try on a target ended.
	AttemptEnded struct {
		Request ident.Request
		Attempt int
		Result  outcome.Attempt
	}
	// Reported is a target's load report, or Failed where it gave none; Refused is set where
	// no process listens there.
	Reported struct {
		Target   ident.Target
		Failed   bool
		Refused  bool
		Boot     uint64
		Seq      uint64
		InFlight int
		Leaving  bool
	}
	// Listed is the platform's list of targets.
	Listed struct{ Targets []ListedTarget }
	// Submitted is a write by an operator or by this process.
	Submitted struct {
		Write    catalog.Write
		Deadline time.Time
	}
	// OrderEnded reports what an engine made of an order.
	OrderEnded struct {
		Order Order
		OK    bool
		Error string
	}
	// EntriesPersisted reports that a raft.Persist is on disk.
	EntriesPersisted struct{ Persisted raft.Persisted }
	// Drain begins the planned stop of this process.
	Drain struct{}
	// ReplicaChange asks the leader to add, promote or remove a replica.
	ReplicaChange struct {
		Member raft.Member
		Remove bool
	}
	// RequestEvent is an event of a request of the route table.
	RequestEvent struct{ Event requests.Event }
	// HeartbeatReceived is a worker's heartbeat. A HeartbeatAnswer follows at once.
	HeartbeatReceived struct{ Worker registry.Worker }
	// HeartbeatUnreadable is a heartbeat, or a deregistration, that could not be read. A
	// HeartbeatAnswer follows at once.
	HeartbeatUnreadable struct {
		Worker ident.Target
		Reason string
	}
	// DeregistrationReceived reports that a worker ends: the process that started at Born,
	// or with 0 the one that is known. A HeartbeatAnswer follows at once.
	DeregistrationReceived struct {
		Worker ident.Target
		Born   registry.Incarnation
	}
	// Read asks whether the configuration held is the newest one.
	Read struct {
		ID       string
		Deadline time.Time
	}
	// Reseeded gives the addresses at which replicas can be found.
	Reseeded struct{ Seeds []ident.Host }
)

func (Tick) event()                   {}
func (Suspended) event()              {}
func (Received) event()               {}
func (Arrived) event()                {}
func (AttemptEnded) event()           {}
func (Reported) event()               {}
func (Listed) event()                 {}
func (Submitted) event()              {}
func (OrderEnded) event()             {}
func (EntriesPersisted) event()       {}
func (Drain) event()                  {}
func (ReplicaChange) event()          {}
func (RequestEvent) event()           {}
func (HeartbeatReceived) event()      {}
func (HeartbeatUnreadable) event()    {}
func (DeregistrationReceived) event() {}
func (Read) event()                   {}
func (Reseeded) event()               {}

// ListedTarget is one line of the platform's list.
type ListedTarget struct {
	ID      ident.Target
	Listing health.Listing
}

// Request is what the callers' side has read of a request.
type Request struct {
	ID ident.Request
	// KeyHash is the hex SHA-256 of the caller's key.
	KeyHash string
	// Model is set for inference, Service and Path for plain services.
	Model   ident.Model
	Service ident.Service
	Path    string
	Class   ident.Class
	Chat    hash.Key
	Work    int64
	// Once is true where the caller marks the request not repeatable.
	Once bool
	// IdempotencyKey marks the logical request, made at KeyCreated.
	IdempotencyKey string
	KeyCreated     time.Time
	Digest         uint64
	Deadline       time.Time
}

// Order is one fenced order to an engine.
type Order struct {
	Plan   ident.Plan
	Step   int
	Token  uint64
	Action string
	Model  ident.Model
	Target config.Target
	Bytes  int64
	// NotAfter is when the order must not be sent any more.
	NotAfter time.Time
}
