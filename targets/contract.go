// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package targets is the HTTP client for model engines and plain services. The protocol is
// specified in docs/target-contract.md.
//
// # Usage
//
//	c := targets.NewClient(targets.Options{})
//	result := c.Do(ctx, exchange)            // one attempt of a caller's request
//	report, err := c.FetchLoad(ctx, address) // an engine's load report
//	err = c.SendOrder(ctx, order)            // a fenced order
//
// Do sends a request at most once: retries by net/http are prevented.
package targets

import (
	"time"

	"github.com/yardhall/yardhall/core/ident"
)

// Headers of the target contract.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderPriority  = "X-Priority"
	// HeaderDeclined is set by a target that did not run the request. Its value is the
	// reason; DeclinedLeaving is that of a target that is shutting down.
	HeaderDeclined  = "X-Yardhall-Declined"
	DeclinedLeaving = "leaving"
	// HeaderCached is the number of prompt tokens served from the cache, HeaderPrompt the
	// total number.
	HeaderCached = "X-Yardhall-Cached-Tokens"
	HeaderPrompt = "X-Yardhall-Prompt-Tokens"
)

// Paths of the target contract.
const (
	PathLoad   = "/yardhall/load"
	PathState  = "/yardhall/state"
	PathOrders = "/yardhall/orders"
	PathEvents = "/yardhall/cache-events"
	PathCancel = "/yardhall/cancel/"
	PathStream = "/yardhall/streams/"
	PathKV     = "/yardhall/kv"
)

// Load is a target's load report.
type Load struct {
	// Boot is the incarnation of the target, which increases with each start. Seq increases with
	// each report.
	Boot     uint64    `json:"boot"`
	Seq      uint64    `json:"seq"`
	Time     time.Time `json:"time"`
	InFlight int       `json:"in_flight"`
	// Leaving is set if the target is shutting down.
	Leaving bool `json:"leaving"`
}

// State is the state of an engine.
type State struct {
	// Models are the loaded models.
	Models []ident.Model `json:"models"`
	// Token is the highest fencing token seen.
	Token uint64 `json:"token"`
}

// OrderBody is the request body of a fenced order.
type OrderBody struct {
	// Token is the fencing token. Engines that check it reject a lower one than the highest seen.
	Token uint64 `json:"token"`
	// Action is ActionLoad or ActionUnload.
	Action string      `json:"action"`
	Model  ident.Model `json:"model"`
}

// Actions of an order.
const (
	ActionLoad   = "load"
	ActionUnload = "unload"
)
