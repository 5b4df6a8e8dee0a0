// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package targets speaks with model engines and plain services over HTTP, as
// docs/target-contract.md describes.
//
// # Usage
//
//	c := targets.NewClient(targets.Options{})
//	answer := c.Do(ctx, exchange)        // one attempt of a caller's request
//	report, err := c.FetchLoad(ctx, address) // an engine's load report
//	err = c.SendOrder(ctx, order)            // a fenced order
//
// A request is sent at most once per call of Do: nothing below it resends.
package targets

import (
	"time"

	"github.com/yardhall/yardhall/core/ident"
)

// Headers of the target contract.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderPriority  = "X-Priority"
	// HeaderDeclined is set by a target that did not run the request; its
	// value is DeclinedLeaving or another reason.
	HeaderDeclined  = "X-Yardhall-Declined"
	DeclinedLeaving = "leaving"
	// HeaderCached and HeaderPrompt are the prompt's tokens, from the cache
	// and in all.
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
	// Boot grows with each start, Seq with each report.
	Boot     uint64    `json:"boot"`
	Seq      uint64    `json:"seq"`
	Time     time.Time `json:"time"`
	InFlight int       `json:"in_flight"`
	Leaving  bool      `json:"leaving"`
}

// State is what an engine holds.
type State struct {
	Models []ident.Model `json:"models"`
	// Token is the highest fencing token seen.
	Token uint64 `json:"token"`
}

// OrderBody is a fenced order.
type OrderBody struct {
	Token  uint64      `json:"token"`
	Action string      `json:"action"`
	Model  ident.Model `json:"model"`
}

// Actions of an order.
const (
	ActionLoad   = "load"
	ActionUnload = "unload"
)
