// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/outcome"
)

const (
	streamRead = 4 << 10
	// maxEvent bounds one event. Chosen, not measured.
	maxEvent = 1 << 20
)

// relay passes events of one or more workers on to one caller.
type relay struct {
	w       http.ResponseWriter
	now     func() time.Time
	headers Headers
	// begun is set once the caller has seen the head, at first.
	begun bool
	first time.Time
	// last is when the caller was sent something last, pause the longest time between
	// two such moments.
	last  time.Time
	pause time.Duration
	// lastID is the id of the last event passed on, as the caller knows it.
	lastID string
	// failed is set where the caller takes nothing more.
	failed bool
}

// stream makes one try of a request whose answer is a stream. The caller gets
// whole events only, and nothing before the first.
func (x *exchange) stream(ctx context.Context, r *relay) (*answer, outcome.Attempt) {
	if failed := x.send(ctx, r.lastID); failed != nil {
		return nil, failed
	}
	stop := context.AfterFunc(ctx, func() { _ = x.conn.Close() })
	defer stop()
	resp, err := x.receive()
	if err != nil {
		_ = x.conn.Close()
		return nil, outcome.Interrupted{Reason: err.Error(), AnswerStarted: r.begun, TimedOut: isSilence(err)}
	}
	x.server.reportHeader(x.dispatch, resp, x.server.now().Sub(x.sent))
	if notRun(resp, x.server.headers) {
		return nil, x.declined(resp)
	}
	signed := resp.Header.Get(x.server.headers.Signature) != ""
	if resp.StatusCode != http.StatusOK || !signed {
		return x.failure(resp, signed, r)
	}
	err = r.copyEvents(resp, func() { x.boundReads(x.dispatch.StallTimeout) })
	x.end(resp, err == nil)
	if err != nil {
		return nil, outcome.Interrupted{Reason: err.Error(), AnswerStarted: r.begun}
	}
	if !r.begun {
		r.begin(resp)
	}
	return nil, outcome.Answered{Status: resp.StatusCode}
}

// failure takes an answer that is no stream.
func (x *exchange) failure(resp *http.Response, signed bool, r *relay) (*answer, outcome.Attempt) {
	body, err := readBody(resp)
	x.end(resp, err == nil)
	if err != nil || !signed || r.begun {
		return nil, outcome.Interrupted{Reason: "the worker answered " + resp.Status, AnswerStarted: r.begun}
	}
	return &answer{status: resp.StatusCode, header: resp.Header, body: body}, outcome.Answered{Status: resp.StatusCode}
}

// begin sends the head.
func (r *relay) begin(resp *http.Response) {
	r.begun, r.first = true, r.now()
	copyHeader(r.w.Header(), r.headers.toCaller(resp.Header))
	r.w.WriteHeader(resp.StatusCode)
}

// copyEvents passes whole events on until the answer ends; wait is called
// before each read.
func (r *relay) copyEvents(resp *http.Response, wait func()) error {
	var held []byte
	chunk := make([]byte, streamRead)
	for {
		wait()
		n, err := resp.Body.Read(chunk)
		held = append(held, chunk[:n]...)
		if end := lastEventEnd(held); end > 0 {
			if werr := r.pass(resp, held[:end]); werr != nil {
				return werr
			}
			held = append(held[:0], held[end:]...)
		}
		switch {
		case errors.Is(err, io.EOF) && len(held) > 0:
			return errors.New("the stream ended within an event")
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errors.Wrap(err, "read the stream")
		case len(held) > maxEvent:
			return errors.New("an event is too long")
		}
	}
}

var eventEnd = []byte("\n\n")

// lastEventEnd returns the length of the whole events at the start of data.
func lastEventEnd(data []byte) int {
	if i := bytes.LastIndex(data, eventEnd); i >= 0 {
		return i + len(eventEnd)
	}
	return 0
}

// pass sends whole events to the caller.
func (r *relay) pass(resp *http.Response, events []byte) error {
	id, err := r.checkIDs(events)
	if err != nil {
		return err
	}
	if !r.begun {
		r.begin(resp)
	}
	if _, err := r.w.Write(events); err != nil {
		r.failed = true
		return errors.Wrap(err, "write to the caller")
	}
	if err := http.NewResponseController(r.w).Flush(); err != nil {
		r.failed = true
		return errors.Wrap(err, "write to the caller")
	}
	if id != "" {
		r.lastID = id
	}
	now := r.now()
	if !r.last.IsZero() {
		r.pause = max(r.pause, now.Sub(r.last))
	}
	r.last = now
	return nil
}

// checkIDs makes sure that ids rise, also from one worker to the next.
func (r *relay) checkIDs(events []byte) (string, error) {
	last := r.lastID
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		id, ok := strings.CutPrefix(string(line), "id:")
		if !ok {
			continue
		}
		id = strings.TrimSpace(id)
		before, err1 := strconv.ParseInt(last, 10, 64)
		after, err2 := strconv.ParseInt(id, 10, 64)
		if err1 == nil && err2 == nil && after <= before {
			return "", errors.Errorf("event %s follows %s", id, last)
		}
		last = id
	}
	return last, nil
}
