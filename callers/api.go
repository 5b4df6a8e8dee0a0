// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package callers is the HTTP port for callers: inference in the form of the
// OpenAI API, and plain services.
//
// # Usage
//
//	api := callers.New(callers.Deps{Core: core, Targets: client, Options: options})
//	server := &http.Server{Handler: api.Handler()}
//
// The handler reads a request, hands its description to the core and does what
// the core decides: try a target, or finish. Token bytes pass from target to
// caller here and never through the core.
package callers

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/yardhall/yardhall/common/clock"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/targets"
)

// Headers of the callers' API.
const (
	HeaderOutcome       = "X-Yardhall-Outcome"
	HeaderRequestID     = "X-Request-Id"
	HeaderClass         = "X-Yardhall-Class"
	HeaderDeadline      = "X-Yardhall-Deadline"
	HeaderNotRepeatable = "X-Yardhall-Not-Repeatable"
	HeaderChatID        = "X-Yardhall-Chat"
	HeaderTarget        = "X-Yardhall-Target"
	// HeaderReplayed is true on the answer of an earlier request under the
	// same key.
	HeaderReplayed              = "X-Yardhall-Replayed"
	HeaderIdempotencyKey        = "Idempotency-Key"
	HeaderIdempotencyKeyCreated = "Idempotency-Key-Created"
)

// Core decides; it is the process's event loop.
type Core interface {
	// Submit hands a request to the core. The channel yields host.Dispatch and
	// last host.Finish.
	Submit(r host.Request) <-chan host.Effect
	// ReportAttempt reports the end of an attempt.
	ReportAttempt(ev host.AttemptEnded)
	// Config is the configuration in force.
	Config() config.Config
	// Ready tells whether new requests should come here.
	Ready() bool
}

// Doer makes attempts on targets.
type Doer interface {
	Do(ctx context.Context, x targets.Exchange) outcome.Attempt
}

// Options bound what callers may do.
type Options struct {
	MaxBody      int64
	WriteTimeout time.Duration
	MaxDuration  time.Duration
	// Incarnation and Host make request ids unique.
	Host        ident.Host
	Incarnation uint64
}

// Deps is what an API needs.
type Deps struct {
	Core    Core
	Targets Doer
	Options Options
	// Responses keeps answers for resends; nil keeps none.
	Responses *ResponseCache
	// Observe, where set, is told of each finished request.
	Observe func(Observation)
	Now     func() time.Time
}

// Observation is what is measured of one request.
type Observation struct {
	Outcome         outcome.Kind
	Duration        time.Duration
	TimeToFirstByte time.Duration
	CachedTokens    int
	PromptTokens    int
	Target          ident.Target
}

// API is the callers' port.
type API struct {
	deps Deps
	seq  atomic.Uint64
}

// New returns the callers' API.
func New(d Deps) *API {
	if d.Now == nil {
		d.Now = clock.Now
	}
	if d.Observe == nil {
		d.Observe = func(Observation) {}
	}
	return &API{deps: d}
}

// Handler returns the routes of the API.
func (a *API) Handler() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = a.onError
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", a.readyz)
	e.GET("/v1/models", a.models)
	e.GET("/v1/models/:model", a.model)
	e.POST("/v1/chat/completions", a.inference)
	e.POST("/v1/completions", a.inference)
	e.Any("/services/:service", a.plain)
	e.Any("/services/:service/*", a.plain)
	return e
}

func (a *API) readyz(c echo.Context) error {
	if !a.deps.Core.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}
