// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package callers is the HTTP API for callers: inference in the format of the OpenAI API, and
// plain services.
//
// # Usage
//
//	api := callers.New(callers.Deps{Core: core, Targets: client, Options: options})
//	server := &http.Server{Handler: api.Handler()}
//
// The handler parses a request, submits its description to the core and carries out the core's
// decisions: dispatch to a target, or finish. Response bodies go directly from target to caller
// and never through the core.
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
	// HeaderReplayed is set to true on the cached response of an earlier request with the same
	// idempotency key.
	HeaderReplayed              = "X-Yardhall-Replayed"
	HeaderIdempotencyKey        = "Idempotency-Key"
	HeaderIdempotencyKeyCreated = "Idempotency-Key-Created"
)

// Core decides on requests; the process's event loop implements it.
type Core interface {
	// Submit starts a request. The channel yields any number of host.Dispatch and finally
	// one host.Finish.
	Submit(r host.Request) <-chan host.Effect
	// ReportAttempt reports the result of an attempt, or that the caller has left.
	ReportAttempt(ev host.AttemptEnded)
	// Config returns the configuration in force.
	Config() config.Config
	// Ready reports whether this host accepts new requests.
	Ready() bool
}

// Doer makes attempts on targets.
type Doer interface {
	Do(ctx context.Context, x targets.Exchange) outcome.Attempt
}

// Options are the settings of an API.
type Options struct {
	// MaxBody bounds the body of a request, in bytes.
	MaxBody int64
	// WriteTimeout bounds each write to a caller; 0 means no timeout.
	WriteTimeout time.Duration
	// MaxDuration bounds a request, streams included; 0 means no limit.
	MaxDuration time.Duration
	// Host and Incarnation make request ids unique.
	Host        ident.Host
	Incarnation uint64
}

// Deps are the dependencies of an API.
type Deps struct {
	Core    Core
	Targets Doer
	Options Options
	// Responses caches responses for retries with the same idempotency key; nil disables it.
	Responses *ResponseCache
	// Observe, if not nil, is called for each finished request.
	Observe func(Observation)
	// ObservePanic, if not nil, is called for each panic of a handler; the request is empty if it is not known.
	ObservePanic func(request ident.Request, value any)
	// Now returns the current time; nil means clock.Now.
	Now func() time.Time
}

// Observation describes a finished request, for metrics.
type Observation struct {
	Outcome  outcome.Kind
	Duration time.Duration
	// TimeToFirstByte is 0 if no response was forwarded.
	TimeToFirstByte time.Duration
	CachedTokens    int
	PromptTokens    int
	Target          ident.Target
}

// API serves the requests of callers.
type API struct {
	deps Deps
	seq  atomic.Uint64
}

// New returns an API with the given dependencies.
func New(d Deps) *API {
	if d.Now == nil {
		d.Now = clock.Now
	}
	if d.Observe == nil {
		d.Observe = func(Observation) {}
	}
	if d.ObservePanic == nil {
		d.ObservePanic = func(ident.Request, any) {}
	}
	return &API{deps: d}
}

// Handler returns the handler of all routes.
func (a *API) Handler() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = a.handleError
	e.Use(a.recoverPanics)
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", a.readyz)
	e.GET("/v1/models", a.listModels)
	e.GET("/v1/models/:model", a.getModel)
	e.POST("/v1/chat/completions", a.serveInference)
	e.POST("/v1/completions", a.serveInference)
	e.Any("/services/:service", a.servePlain)
	e.Any("/services/:service/*", a.servePlain)
	return e
}

// recoverPanics answers a request whose handler panics, or aborts its connection if the response has begun.
func (a *API) recoverPanics(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) (err error) {
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			if v == http.ErrAbortHandler { //nolint:errorlint // net/http compares it as well.
				panic(v)
			}
			a.deps.ObservePanic("", v)
			if c.Response().Committed {
				panic(http.ErrAbortHandler)
			}
			err = writeVerdict(c.Response(), a.newRequestID(), host.Verdict{
				Outcome: outcome.Unknown, Code: codeInternal, Reason: "internal error, the request may have run",
			})
		}()
		return next(c)
	}
}

func (a *API) readyz(c echo.Context) error {
	if !a.deps.Core.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}
