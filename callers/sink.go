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

// sink writes one answer to the caller.
type sink struct {
	w        *echo.Response
	api      *API
	id       ident.Request
	target   ident.Target
	streamed bool
	started  bool
	begun    time.Time
	first    time.Duration
	// keep copies the answer for resends, up to maxKeptOne bytes.
	keep bool
	copy host.Answer
}

// Begin implements targets.Sink.
func (s *sink) Begin(status int, header http.Header) error {
	h := s.w.Header()
	for name, values := range passed(header) {
		h[name] = slices.Clone(values)
	}
	h.Set(HeaderRequestID, string(s.id))
	h.Set(HeaderTarget, string(s.target))
	if s.streamed && status == http.StatusOK {
		// How a stream ends is known only then: it stands in the trailer.
		h.Set("Trailer", HeaderOutcome)
	} else {
		h.Set(HeaderOutcome, string(outcome.Ran))
	}
	s.first = s.api.deps.Now().Sub(s.begun)
	s.started = true
	s.copy = host.Answer{Status: status, ContentType: h.Get("Content-Type")}
	s.w.WriteHeader(status)
	return nil
}

// Write implements targets.Sink; a caller that takes no bytes for too long is
// cut.
func (s *sink) Write(p []byte) error {
	control := http.NewResponseController(s.w.Writer)
	if stall := s.api.deps.Options.WriteTimeout; stall > 0 {
		_ = control.SetWriteDeadline(time.Now().Add(stall))
	}
	s.remember(p)
	if _, err := s.w.Write(p); err != nil {
		return errors.Wrap(err, "write to caller")
	}
	if s.streamed {
		s.w.Flush()
	}
	return nil
}

func (s *sink) remember(p []byte) {
	if s.keep = s.keep && len(s.copy.Body)+len(p) <= maxKeptOne; s.keep {
		s.copy.Body = append(s.copy.Body, p...)
	}
}

// replay gives the answer of an earlier request under the same key.
func (s *sink) replay(a host.Answer) error {
	h := s.w.Header()
	h.Set("Content-Type", a.ContentType)
	h.Set(HeaderOutcome, string(outcome.Ran))
	h.Set(HeaderRequestID, string(s.id))
	h.Set(HeaderReplayed, "true")
	s.w.WriteHeader(a.Status)
	_, err := s.w.Write(a.Body)
	return errors.Wrap(err, "replay answer")
}

// finish tells the caller how the request ended. A stream that broke ends with
// an error event and without the end mark.
func (s *sink) finish(v host.Verdict) error {
	defer func() { _ = http.NewResponseController(s.w.Writer).SetWriteDeadline(time.Time{}) }()
	if !s.started && v.Answer != nil {
		return s.replay(*v.Answer)
	}
	if !s.started {
		return writeVerdict(s.w, s.id, v)
	}
	if !s.streamed {
		return nil
	}
	s.w.Header().Set(HeaderOutcome, string(v.Outcome))
	if v.Outcome == outcome.Ran {
		return nil
	}
	text, err := json.Marshal(bodyOf(s.id, v))
	if err != nil {
		return errors.Wrap(err, "encode error")
	}
	// The stream ends here, whether the caller still reads it or not.
	_ = s.Write([]byte("event: error\ndata: " + string(text) + "\n\n"))
	return nil
}
