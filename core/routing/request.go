// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package routing

import (
	"time"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
)

// PermitRequest is a router's request for a permit: a place on an engine.
type PermitRequest struct {
	Permit      ident.PermitID
	Router      ident.Host
	Incarnation uint64
	Account     ident.Account
	// Weight is the account's part under contention; 1 where 0.
	Weight float64
	// Rank is that of the priority class; lower goes first.
	Rank int
	// QueueLimit bounds the requests of this rank that wait; MaxWait how long.
	QueueLimit int
	MaxWait    time.Duration
	Model      ident.Model
	// Key identifies the chat; 0 where there is none.
	Key hash.Key
	// Work is the estimate of tokens to prefill and decode.
	Work     int64
	Deadline time.Time
	// Exclude are targets that this request has tried.
	Exclude []ident.Target
	// Final is set where another group has sent the request on; it is not sent
	// further.
	Final bool

	queuedAt time.Time
	seq      uint64
}

// Answer is what becomes of a PermitRequest. The set is closed.
type Answer interface{ answer() }

type (
	// Granted gives a permit.
	Granted struct {
		Target ident.Target
		// Known is true where the chat was remembered on that engine.
		Known bool
	}
	// Queued means that Granted or Refused follows.
	Queued struct{ Position int }
	// Elsewhere names the group to request the permit of instead.
	Elsewhere struct{ Group GroupID }
	// Refused means that the request gets no permit.
	Refused struct {
		Reason RefusalReason
		// RetryAfter is when another request makes sense.
		RetryAfter time.Duration
	}
)

func (Granted) answer()   {}
func (Queued) answer()    {}
func (Elsewhere) answer() {}
func (Refused) answer()   {}

// RefusalReason says why there is no permit.
type RefusalReason string

// Reasons of a refusal.
const (
	ReasonNoTarget  RefusalReason = "no_target"
	ReasonQueueFull RefusalReason = "queue_full"
	ReasonTimeout   RefusalReason = "queue_timeout"
	ReasonShed      RefusalReason = "shed"
	ReasonOverBound RefusalReason = "over_bound"
)

// retryAfter is the advice to callers of refused requests. Chosen, not measured.
const retryAfter = time.Second

// GroupLoad is what an owner reports of its group.
type GroupLoad struct {
	Group GroupID
	// Load is the requests in flight on the group's usable engines.
	Load int
	// Usable counts those engines.
	Usable int
	// Waiting counts the requests in its queue.
	Waiting int
}
