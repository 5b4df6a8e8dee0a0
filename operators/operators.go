// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package operators is the HTTP port for operators: configuration, plans,
// status, audit trail and dumps as JSON.
//
// # Usage
//
//	api := operators.New(operators.Deps{Core: core, KeyHashes: hashes})
//	server := &http.Server{Handler: api.Handler()}
//
// A write may carry If-Match with the ETag it was made from, or If-None-Match
// with *, and an Idempotency-Key: a write resent under the same key is done
// once and gets its first answer, whichever host it is sent to.
package operators

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/common/clock"
	"github.com/yardhall/yardhall/common/keys"
	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
)

// Core is what the port needs of the process's event loop.
type Core interface {
	State() host.State
	Write(ctx context.Context, w catalog.Write, limit time.Duration) (result catalog.Result, known bool)
	Post(ev host.Event)
}

// Deps is what an API needs.
type Deps struct {
	Core Core
	// KeyHashes are the hex SHA-256 of the operators' keys.
	KeyHashes []string
	// Counters serves the process's counters.
	Counters http.Handler
	// Rollouts is what the calls on rollouts need; nil where rollouts are disabled.
	Rollouts RolloutCore
}

// API is the operators' port.
type API struct {
	deps  Deps
	kinds map[string]kind
}

const (
	writeLimit = 5 * time.Second
	maxBody    = 1 << 20
	// HeaderActor names the operator in the audit trail.
	HeaderActor = "X-Yardhall-Operator"
	headerKey   = "Idempotency-Key"
)

// New returns the operators' API.
func New(d Deps) *API { return &API{deps: d, kinds: kinds()} }

// Handler returns the routes of the API.
func (a *API) Handler() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = onError
	g := e.Group("/v1", a.authorize)
	g.GET("/status", a.status)
	g.GET("/dump", func(c echo.Context) error { return c.JSON(http.StatusOK, a.deps.Core.State().Dump(clock.Now())) })
	g.GET("/counters", echo.WrapHandler(a.deps.Counters))
	g.GET("/audit", a.audit)
	g.GET("/backup", a.backup)
	g.POST("/replicas", a.replica)
	g.GET("/zones", a.zones)
	g.POST("/zones/:zone/drain", func(c echo.Context) error { return a.changeZone(c, true) })
	g.POST("/zones/:zone/restore", func(c echo.Context) error { return a.changeZone(c, false) })
	if a.deps.Rollouts != nil {
		g.POST("/rollouts", a.orderRollout)
		g.GET("/rollouts", a.rollouts)
		g.GET("/rollouts/:service", a.rollout)
		g.POST("/rollouts/:service/revert", a.revertRollout)
	}
	g.GET("/plans", a.plans)
	g.POST("/plans", a.makePlan)
	g.GET("/plans/:id", a.plan)
	g.POST("/plans/:id/:verb", a.decide)
	g.GET("/:kind", a.list)
	g.GET("/:kind/*", a.get)
	g.PUT("/:kind/*", a.put)
	g.DELETE("/:kind/*", a.remove)
	return e
}

func (a *API) authorize(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		key := keys.Bearer(c.Request().Header.Get("Authorization"))
		if !keys.Matches(keys.Hash(key), a.deps.KeyHashes) {
			return fail(c, http.StatusUnauthorized, "unauthorized", "an operator key is needed")
		}
		return next(c)
	}
}

// Error is the one form of all errors.
type Error struct {
	Code   string     `json:"code"`
	Reason string     `json:"reason"`
	Plan   ident.Plan `json:"plan,omitempty"`
	// Version is the revision that won, where a write lost.
	Version config.Version `json:"version,omitempty"`
}

func fail(c echo.Context, status int, code, reason string) error {
	return errors.Wrap(c.JSON(status, Error{Code: code, Reason: reason}), "answer")
}

func onError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var he *echo.HTTPError
	if errors.As(err, &he) && he.Code < http.StatusInternalServerError {
		_ = fail(c, he.Code, "not_found", "there is no such route")
		return
	}
	_ = fail(c, http.StatusInternalServerError, "internal", "the request failed inside the host")
}

func etag(v config.Version) string { return strconv.Quote(strconv.FormatUint(uint64(v), 10)) }

func (a *API) config() config.Config { return a.deps.Core.State().Config() }

func (a *API) list(c echo.Context) error {
	k, ok := a.kinds[c.Param("kind")]
	if !ok {
		return fail(c, http.StatusNotFound, "not_found", "there is no such collection")
	}
	cfg := a.config()
	c.Response().Header().Set("ETag", etag(cfg.Version))
	return c.JSON(http.StatusOK, k.list(cfg))
}

func (a *API) get(c echo.Context) error {
	k, ok := a.kinds[c.Param("kind")]
	if !ok {
		return fail(c, http.StatusNotFound, "not_found", "there is no such collection")
	}
	o, ok := k.get(a.config(), c.Param("*"))
	if !ok {
		return fail(c, http.StatusNotFound, "not_found", "there is no such object")
	}
	c.Response().Header().Set("ETag", etag(o.rev))
	return c.JSON(http.StatusOK, o.value)
}

func readBody(c echo.Context) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBody))
	return body, errors.Wrap(err, "the body")
}

func (a *API) put(c echo.Context) error {
	k, ok := a.kinds[c.Param("kind")]
	if !ok {
		return fail(c, http.StatusNotFound, "not_found", "there is no such collection")
	}
	body, err := readBody(c)
	if err != nil {
		return fail(c, http.StatusBadRequest, "invalid", err.Error())
	}
	change, err := k.put(c.Param("*"), body)
	if err != nil {
		return fail(c, http.StatusBadRequest, "invalid", err.Error())
	}
	return a.edit(c, change)
}

func (a *API) remove(c echo.Context) error {
	k, ok := a.kinds[c.Param("kind")]
	if !ok || k.remove == nil {
		return fail(c, http.StatusNotFound, "not_found", "there is nothing to remove there")
	}
	return a.edit(c, k.remove(c.Param("*")))
}

func (a *API) edit(c echo.Context, change config.Change) error {
	cmd := catalog.Edit{Change: change}
	rev, guarded, err := readMatch(c)
	if err != nil {
		return fail(c, http.StatusBadRequest, "invalid", err.Error())
	}
	cmd.Guarded, cmd.Rev = guarded, rev
	return a.write(c, cmd)
}

// readMatch reads the revision that a write was made from.
func readMatch(c echo.Context) (config.Version, bool, error) {
	h := c.Request().Header
	if h.Get("If-None-Match") == "*" {
		return 0, true, nil
	}
	text := h.Get("If-Match")
	if text == "" {
		return 0, false, nil
	}
	n, err := strconv.ParseUint(strings.Trim(text, `"`), 10, 64)
	if err != nil {
		return 0, false, errors.New("If-Match must be an ETag as given by a GET")
	}
	return config.Version(n), true, nil
}

// Written is the answer to a write.
type Written struct {
	Version config.Version `json:"version"`
	Plan    ident.Plan     `json:"plan,omitempty"`
	Reason  string         `json:"reason,omitempty"`
}

func (a *API) write(c echo.Context, cmd catalog.Command) error {
	r, known := a.submit(c, cmd)
	if !known {
		return failUnknown(c)
	}
	if r.Code == catalog.OK {
		return written(c, r)
	}
	return c.JSON(statusOf(r.Code), Error{Code: string(r.Code), Reason: r.Reason, Plan: r.Plan, Version: r.Version})
}

// submit writes a command; known is false where it may or may not be done.
func (a *API) submit(c echo.Context, cmd catalog.Command) (result catalog.Result, known bool) {
	w := catalog.Write{Actor: actor(c), Command: cmd, Remember: true}
	if key := c.Request().Header.Get(headerKey); key != "" {
		w.ID = "operator/" + key
	} else {
		w.ID = "operator/" + uuid.NewString()
	}
	return a.deps.Core.Write(c.Request().Context(), w, writeLimit)
}

func failUnknown(c echo.Context) error {
	return fail(c, http.StatusServiceUnavailable, "unknown",
		"no quorum answered in time; the write may or may not be done: send it again with the same "+headerKey)
}

func written(c echo.Context, r catalog.Result) error {
	c.Response().Header().Set("ETag", etag(r.Version))
	return c.JSON(http.StatusOK, Written{Version: r.Version, Plan: r.Plan, Reason: r.Reason})
}

func actor(c echo.Context) string {
	if name := c.Request().Header.Get(HeaderActor); name != "" {
		return "operator " + name
	}
	return "operator"
}

func statusOf(code catalog.Code) int {
	switch code {
	case catalog.Conflict, catalog.GroundMoved, catalog.Overtaken:
		return http.StatusPreconditionFailed
	case catalog.NotFound:
		return http.StatusNotFound
	default:
		return http.StatusBadRequest
	}
}
