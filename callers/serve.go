// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package callers

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/common/clock"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/targets"
)

// serveInference serves chat and text completions.
func (a *API) serveInference(c echo.Context) error {
	body, r, verdict := a.readRequest(c)
	if verdict != nil {
		return writeVerdict(c.Response(), r.ID, *verdict)
	}
	p, err := ParsePrompt(body, r.KeyHash, c.Request().Header.Get(HeaderChatID))
	if err != nil {
		return writeVerdict(c.Response(), r.ID, *badRequest(err.Error()))
	}
	r.Model, r.Chat, r.Work, r.Path = ident.Model(p.Model), p.Chat, p.EstimatedTokens, c.Request().URL.Path
	return a.runRequest(c, r, targets.Exchange{
		Request: r.ID, Method: http.MethodPost, Path: c.Request().URL.Path, Body: body, Streamed: p.Stream,
		Header: http.Header{"Content-Type": {"application/json"}},
	})
}

// servePlain forwards a request to a plain service, with the path below the service's own.
func (a *API) servePlain(c echo.Context) error {
	body, r, verdict := a.readRequest(c)
	if verdict != nil {
		return writeVerdict(c.Response(), r.ID, *verdict)
	}
	r.Service = ident.Service(c.Param("service"))
	path := "/" + strings.TrimPrefix(r.Path, "/")
	if q := c.Request().URL.RawQuery; q != "" {
		path += "?" + q
	}
	return a.runRequest(c, r, targets.Exchange{
		Request: r.ID, Method: c.Request().Method, Path: path, Body: body, Header: requestHeader(c.Request().Header),
	})
}

// strippedRequestHeaders are not forwarded: hop-by-hop headers, credentials, and the
// idempotency keys by which net/http would consider a request safe to resend.
var strippedRequestHeaders = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Accept-Encoding", "X-Idempotency-Key", HeaderIdempotencyKey, HeaderIdempotencyKeyCreated,
}

// requestHeader returns the headers of a caller's request that are forwarded to the target.
func requestHeader(in http.Header) http.Header {
	out := in.Clone()
	for _, name := range strings.Split(in.Get("Connection"), ",") {
		out.Del(strings.TrimSpace(name))
	}
	for _, name := range strippedRequestHeaders {
		out.Del(name)
	}
	return out
}

// runRequest executes a request. It rejects one that must not run twice and whose idempotency
// key has no creation time.
func (a *API) runRequest(c echo.Context, r host.Request, x targets.Exchange) error {
	startedAt := a.deps.Now()
	if !r.AtMostOnce || r.IdempotencyKey == "" || !r.KeyCreated.IsZero() {
		return a.execute(c, r, x, startedAt)
	}
	return writeVerdict(c.Response(), r.ID, *badRequest("the key of a request that must not run twice needs a time: use a UUID of version 7 or " + HeaderIdempotencyKeyCreated))
}

// execute submits a request to the core and carries out its decisions. If the caller
// disconnects between attempts, it reports that and waits for the core to finish the request.
func (a *API) execute(c echo.Context, r host.Request, x targets.Exchange, startedAt time.Time) error {
	ctx, cancel := context.WithDeadline(c.Request().Context(), clock.Real(r.Deadline))
	defer cancel()
	s := &sink{w: c.Response(), api: a, id: r.ID, streamed: x.Streamed, startedAt: startedAt}
	x.Sink = s
	s.cacheable = r.IdempotencyKey != "" && a.deps.Responses != nil
	effects := a.deps.Core.Submit(r)
	var lastResult outcome.Attempt
	for {
		select {
		case e := <-effects:
			switch e := e.(type) {
			case host.Dispatch:
				s.target = e.Target.ID
				lastResult = a.attempt(ctx, s, x, e)
				a.deps.Core.ReportAttempt(host.AttemptEnded{Request: r.ID, Attempt: e.Attempt, Result: lastResult})
			case host.Finish:
				if s.cacheable && s.headerSent && e.Verdict.Outcome == outcome.Ran {
					a.deps.Responses.Add(r.ID, s.copy)
				}
				a.observe(e.Verdict, lastResult, s, startedAt)
				return s.finish(e.Verdict)
			}
		case <-c.Request().Context().Done():
			a.deps.Core.ReportAttempt(host.AttemptEnded{Request: r.ID, Result: outcome.Abandoned{}})
			return a.awaitFinish(effects, s, startedAt)
		}
	}
}

// awaitFinish waits until the core finishes a request whose caller has disconnected.
func (a *API) awaitFinish(effects <-chan host.Effect, s *sink, startedAt time.Time) error {
	for e := range effects {
		if f, ok := e.(host.Finish); ok {
			a.observe(f.Verdict, nil, s, startedAt)
			return nil
		}
	}
	return nil
}

// attempt sends the request to the target of d. A passed deadline counts as an interrupted attempt,
// not as a disconnected caller.
func (a *API) attempt(ctx context.Context, s *sink, x targets.Exchange, d host.Dispatch) (result outcome.Attempt) {
	defer func() {
		if v := recover(); v != nil {
			a.deps.ObservePanic(d.Request, v)
			result = outcome.Interrupted{Reason: "internal error", AnswerStarted: s.headerSent}
		}
	}()
	x.Target = targets.Endpoint{ID: d.Target.ID, Address: d.Target.Address}
	// A copy of the answer to an earlier attempt, which bears the same id, may arrive on a pooled connection.
	x.FreshConnection = d.AtMostOnce || d.Attempt > 1
	x.Header = x.Header.Clone()
	x.Header.Set(targets.HeaderPriority, strconv.Itoa(d.Rank))
	result = a.deps.Targets.Do(ctx, x)
	if _, abandoned := result.(outcome.Abandoned); abandoned && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.Interrupted{Reason: "the deadline passed", AnswerStarted: true}
	}
	return result
}

func (a *API) observe(v host.Verdict, lastResult outcome.Attempt, s *sink, startedAt time.Time) {
	o := Observation{Outcome: v.Outcome, Duration: a.deps.Now().Sub(startedAt), TimeToFirstByte: s.timeToFirstByte, Target: s.target}
	if answered, ok := lastResult.(outcome.Answered); ok {
		o.CachedTokens, o.PromptTokens = answered.CachedTokens, answered.PromptTokens
	}
	a.deps.Observe(o)
}

// responseHeader returns the headers of a target's response that are forwarded to the caller.
func responseHeader(in http.Header) http.Header {
	out := in.Clone()
	for _, name := range []string{"Connection", "Keep-Alive", "Trailer", "Transfer-Encoding", "Content-Length", "Upgrade"} {
		out.Del(name)
	}
	return out
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

type modelInfo struct {
	ID      ident.Model   `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	OwnedBy ident.Service `json:"owned_by"`
}

func (a *API) listModels(c echo.Context) error {
	if v := a.checkAPIKey(c); v != nil {
		return writeVerdict(c.Response(), a.newRequestID(), *v)
	}
	list := modelList{Object: "list", Data: []modelInfo{}}
	for _, m := range a.deps.Core.Config().Models.All() {
		list.Data = append(list.Data, modelInfo{ID: m.ID, Object: "model", OwnedBy: m.Service})
	}
	return c.JSON(http.StatusOK, list)
}

func (a *API) getModel(c echo.Context) error {
	if v := a.checkAPIKey(c); v != nil {
		return writeVerdict(c.Response(), a.newRequestID(), *v)
	}
	m, ok := a.deps.Core.Config().Models.Get(ident.Model(c.Param("model")))
	if !ok {
		return writeVerdict(c.Response(), a.newRequestID(), host.Verdict{
			Outcome: outcome.NotRun, Code: host.CodeModelNotFound, Reason: "the model does not exist",
		})
	}
	return c.JSON(http.StatusOK, modelInfo{ID: m.ID, Object: "model", OwnedBy: m.Service})
}
