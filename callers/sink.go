// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package callers

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
)

// sink writes one response to the caller.
type sink struct {
	w               *echo.Response
	api             *API
	id              ident.Request
	target          ident.Target
	streamed        bool
	headerSent      bool
	startedAt       time.Time
	timeToFirstByte time.Duration
	// cacheable is set while the response is to be cached. It is cleared once the body exceeds
	// maxCachedBody. copy holds the response recorded so far.
	cacheable bool
	copy      host.Answer
}

// Begin implements targets.Sink.
func (s *sink) Begin(status int, header http.Header) error {
	h := s.w.Header()
	for name, values := range responseHeader(header) {
		h[name] = slices.Clone(values)
	}
	h.Set(HeaderRequestID, string(s.id))
	h.Set(HeaderTarget, string(s.target))
	if s.streamed && status == http.StatusOK {
		// The outcome of a stream is known only at its end, so it is sent in the trailer.
		h.Set("Trailer", HeaderOutcome)
	} else {
		h.Set(HeaderOutcome, string(outcome.Ran))
	}
	s.timeToFirstByte = s.api.deps.Now().Sub(s.startedAt)
	s.copy = host.Answer{Status: status, ContentType: h.Get("Content-Type")}
	s.w.WriteHeader(status)
	s.headerSent = true
	return nil
}

// Write implements targets.Sink. It fails if the caller accepts no bytes within WriteTimeout.
func (s *sink) Write(p []byte) error {
	control := http.NewResponseController(s.w.Writer)
	if timeout := s.api.deps.Options.WriteTimeout; timeout > 0 {
		_ = control.SetWriteDeadline(time.Now().Add(timeout))
	}
	s.record(p)
	if _, err := s.w.Write(p); err != nil {
		return errors.Wrap(err, "write to caller")
	}
	if s.streamed {
		s.w.Flush()
	}
	return nil
}

// record appends p to the copy, or stops recording once the body exceeds maxCachedBody.
func (s *sink) record(p []byte) {
	if s.cacheable = s.cacheable && len(s.copy.Body)+len(p) <= maxCachedBody; s.cacheable {
		s.copy.Body = append(s.copy.Body, p...)
	}
}

// replay writes the cached response of an earlier request with the same idempotency key.
func (s *sink) replay(a host.Answer) error {
	h := s.w.Header()
	h.Set("Content-Type", a.ContentType)
	h.Set(HeaderOutcome, string(outcome.Ran))
	h.Set(HeaderRequestID, string(s.id))
	h.Set(HeaderReplayed, "true")
	s.w.WriteHeader(a.Status)
	_, err := s.w.Write(a.Body)
	return errors.Wrap(err, "replay response")
}

// finish completes the response according to the verdict. A broken stream ends with an error
// event and without the end marker.
func (s *sink) finish(v host.Verdict) error {
	defer func() { _ = http.NewResponseController(s.w.Writer).SetWriteDeadline(time.Time{}) }()
	if !s.headerSent && v.Answer != nil {
		return s.replay(*v.Answer)
	}
	if !s.headerSent {
		return writeVerdict(s.w, s.id, v)
	}
	if !s.streamed {
		if v.Outcome != outcome.Ran {
			// A part of a response must not look whole.
			panic(http.ErrAbortHandler)
		}
		return nil
	}
	s.w.Header().Set(HeaderOutcome, string(v.Outcome))
	if v.Outcome == outcome.Ran {
		return nil
	}
	text, err := json.Marshal(errorBody(s.id, v))
	if err != nil {
		return errors.Wrap(err, "encode error")
	}
	// The request is finished, whether or not this write reaches the caller.
	_ = s.Write([]byte("event: error\ndata: " + string(text) + "\n\n"))
	return nil
}
