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

// inference serves the model routes.
func (a *API) inference(c echo.Context) error {
	body, r, verdict := a.read(c)
	if verdict != nil {
		return writeVerdict(c.Response(), r.ID, *verdict)
	}
	p, err := ParsePrompt(body, r.KeyHash, c.Request().Header.Get(HeaderChatID))
	if err != nil {
		return writeVerdict(c.Response(), r.ID, *bad(err.Error()))
	}
	r.Model, r.Chat, r.Work, r.Path = ident.Model(p.Model), p.Chat, p.EstimatedTokens, c.Request().URL.Path
	return a.run(c, r, targets.Exchange{
		Request: r.ID, Method: http.MethodPost, Path: c.Request().URL.Path, Body: body, Streamed: p.Stream,
		Header: http.Header{"Content-Type": {"application/json"}},
	})
}

// plain serves plain services: method, path below the service, query, body and
// headers are passed on.
func (a *API) plain(c echo.Context) error {
	body, r, verdict := a.read(c)
	if verdict != nil {
		return writeVerdict(c.Response(), r.ID, *verdict)
	}
	r.Service = ident.Service(c.Param("service"))
	path := "/" + strings.TrimPrefix(r.Path, "/")
	if q := c.Request().URL.RawQuery; q != "" {
		path += "?" + q
	}
	return a.run(c, r, targets.Exchange{
		Request: r.ID, Method: c.Request().Method, Path: path, Body: body, Header: forwarded(c.Request().Header),
	})
}

// kept are headers that end at the router: those of the connection, of the
// account, and those by which net/http would take a request as safe to repeat.
var kept = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Accept-Encoding", "X-Idempotency-Key", HeaderIdempotencyKey, HeaderIdempotencyKeyCreated,
}

func forwarded(in http.Header) http.Header {
	out := in.Clone()
	for _, name := range strings.Split(in.Get("Connection"), ",") {
		out.Del(strings.TrimSpace(name))
	}
	for _, name := range kept {
		out.Del(name)
	}
	return out
}

// run takes a request through the core: tries what it dispatches, ends as it
// says.
func (a *API) run(c echo.Context, r host.Request, x targets.Exchange) error {
	begun := a.deps.Now()
	if !r.AtMostOnce || r.IdempotencyKey == "" || !r.KeyCreated.IsZero() {
		return a.follow(c, r, x, begun)
	}
	return writeVerdict(c.Response(), r.ID, *bad("the key of a request that must not run twice needs a time: use a UUID of version 7 or " + HeaderIdempotencyKeyCreated))
}

func (a *API) follow(c echo.Context, r host.Request, x targets.Exchange, begun time.Time) error {
	ctx, cancel := context.WithDeadline(c.Request().Context(), clock.Real(r.Deadline))
	defer cancel()
	s := &sink{w: c.Response(), api: a, id: r.ID, streamed: x.Streamed, begun: begun}
	x.Sink = s
	s.keep = r.IdempotencyKey != "" && a.deps.Responses != nil
	effects := a.deps.Core.Submit(r)
	var last outcome.Attempt
	for {
		select {
		case e := <-effects:
			switch e := e.(type) {
			case host.Dispatch:
				s.target = e.Target.ID
				last = a.attempt(ctx, x, e)
				a.deps.Core.ReportAttempt(host.AttemptEnded{Request: r.ID, Attempt: e.Attempt, Result: last})
			case host.Finish:
				if s.keep && s.started && e.Verdict.Outcome == outcome.Ran {
					a.deps.Responses.Add(r.ID, s.copy)
				}
				a.observe(e.Verdict, last, s, begun)
				return s.finish(e.Verdict)
			}
		case <-c.Request().Context().Done():
			a.deps.Core.ReportAttempt(host.AttemptEnded{Request: r.ID, Result: outcome.Abandoned{}})
			return a.drain(effects, s, begun)
		}
	}
}

// drain waits for the core's word on a request whose caller has left.
func (a *API) drain(effects <-chan host.Effect, s *sink, begun time.Time) error {
	for e := range effects {
		if f, ok := e.(host.Finish); ok {
			a.observe(f.Verdict, nil, s, begun)
			return nil
		}
	}
	return nil
}

func (a *API) attempt(ctx context.Context, x targets.Exchange, d host.Dispatch) outcome.Attempt {
	x.Target = targets.Endpoint{ID: d.Target.ID, Address: d.Target.Address}
	x.FreshConnection = d.AtMostOnce
	x.Header = x.Header.Clone()
	x.Header.Set(targets.HeaderPriority, strconv.Itoa(d.Rank))
	result := a.deps.Targets.Do(ctx, x)
	if _, gone := result.(outcome.Abandoned); gone && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.Interrupted{Reason: "the deadline passed", AnswerStarted: true}
	}
	return result
}

func (a *API) observe(v host.Verdict, last outcome.Attempt, s *sink, begun time.Time) {
	o := Observation{Outcome: v.Outcome, Duration: a.deps.Now().Sub(begun), TimeToFirstByte: s.first, Target: s.target}
	if answered, ok := last.(outcome.Answered); ok {
		o.CachedTokens, o.PromptTokens = answered.CachedTokens, answered.PromptTokens
	}
	a.deps.Observe(o)
}

// passed returns the headers of a target's answer that go on to the caller.
func passed(in http.Header) http.Header {
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

func (a *API) models(c echo.Context) error {
	if v := a.checkKey(c); v != nil {
		return writeVerdict(c.Response(), a.newID(), *v)
	}
	list := modelList{Object: "list", Data: []modelInfo{}}
	for _, m := range a.deps.Core.Config().Models.All() {
		list.Data = append(list.Data, modelInfo{ID: m.ID, Object: "model", OwnedBy: m.Service})
	}
	return c.JSON(http.StatusOK, list)
}

func (a *API) model(c echo.Context) error {
	if v := a.checkKey(c); v != nil {
		return writeVerdict(c.Response(), a.newID(), *v)
	}
	m, ok := a.deps.Core.Config().Models.Get(ident.Model(c.Param("model")))
	if !ok {
		return writeVerdict(c.Response(), a.newID(), host.Verdict{
			Outcome: outcome.NotRun, Code: host.CodeModelNotFound, Reason: "the model does not exist",
		})
	}
	return c.JSON(http.StatusOK, modelInfo{ID: m.ID, Object: "model", OwnedBy: m.Service})
}
