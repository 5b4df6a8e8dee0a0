// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package routing

import (
	"time"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
)

// PermitRequest is a router's request for a permit to run a request on a target.
type PermitRequest struct {
	Permit      ident.PermitID
	Router      ident.Host
	Incarnation uint64
	Account     ident.Account
	// Weight is the account's relative share under contention; 0 means 1.
	Weight float64
	// Rank is the rank of the priority class; lower ranks are served first.
	Rank int
	// QueueLimit bounds the queued requests of this rank, MaxWait the time in the queue; 0 means
	// the default limit and no maximum time.
	QueueLimit int
	MaxWait    time.Duration
	Model      ident.Model
	// Key identifies the chat; 0 if there is none.
	Key hash.Key
	// Work is the estimated number of tokens to prefill and decode.
	Work     int64
	Deadline time.Time
	// Exclude lists the targets that this request has already tried.
	Exclude []ident.Target
	// Final is set if another group redirected the request here; it is not redirected again.
	Final bool

	queuedAt time.Time
	seq      uint64
}

// Answer is the answer to a PermitRequest. The set of types is closed.
type Answer interface{ answer() }

type (
	// Granted grants a permit.
	Granted struct {
		Target ident.Target
		// Known is set if the directory had the chat on that target.
		Known bool
	}
	// Queued means that the request is queued; Granted or Refused follows.
	Queued struct{ Position int }
	// Elsewhere redirects the request to another group.
	Elsewhere struct{ Group GroupID }
	// Refused means that the request gets no permit.
	Refused struct {
		Reason RefusalReason
		// RetryAfter is the time after which the caller may retry.
		RetryAfter time.Duration
	}
)

func (Granted) answer()   {}
func (Queued) answer()    {}
func (Elsewhere) answer() {}
func (Refused) answer()   {}

// RefusalReason is the reason why a request got no permit.
type RefusalReason string

// Reasons for a refusal.
const (
	ReasonNoTarget  RefusalReason = "no_target"
	ReasonQueueFull RefusalReason = "queue_full"
	ReasonTimeout   RefusalReason = "queue_timeout"
	ReasonShed      RefusalReason = "shed"
	ReasonOverBound RefusalReason = "over_bound"
)

// retryAfter is the retry delay given to callers of refused requests.
const retryAfter = time.Second

// GroupLoad is the load of a group, as its owner reports it.
type GroupLoad struct {
	Group GroupID
	// Load is the number of requests in flight on the group's usable targets.
	Load int
	// Usable is the number of usable targets.
	Usable int
	// Waiting is the number of queued requests.
	Waiting int
}
