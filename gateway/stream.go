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
	"github.com/yardhall/yardhall/core/requests"
)

const (
	readChunkSize = 4 << 10
	maxEventBytes = 1 << 20
)

// eventRelay writes the server-sent events of one request to its caller. After a retry it
// continues with the events of another worker.
type eventRelay struct {
	w       http.ResponseWriter
	now     func() time.Time
	headers Headers
	// headerSent is set once the response header was written, at firstWrite.
	headerSent bool
	firstWrite time.Time
	// maxGap is the longest time between two writes of events, the last one at lastWrite.
	lastWrite time.Time
	maxGap    time.Duration
	// lastEventID is the id of the last event that the caller has.
	lastEventID string
	// begin is called before the first event is sent.
	begin func()
	// writeFailed is set once writing to the response failed.
	writeFailed bool
}

// attemptStream makes one attempt whose response is an event stream. Only complete events
// are forwarded, and the header is not sent before the first one, so that a failed attempt
// can still be retried.
func (x *exchange) attemptStream(ctx context.Context, r *eventRelay) (*response, outcome.Attempt) {
	r.begin = x.reportBegun
	if failure := x.send(ctx, r.lastEventID); failure != nil {
		return nil, failure
	}
	x.stopClosing = context.AfterFunc(ctx, func() { _ = x.conn.Close() })
	defer x.stopClosing()
	resp, err := x.readResponse()
	if err != nil {
		_ = x.conn.Close()
		return nil, outcome.Interrupted{Reason: err.Error(), AnswerStarted: r.headerSent, TimedOut: isResponseTimeout(err)}
	}
	x.server.reportHeader(x.dispatch, resp, x.conn, x.server.now().Sub(x.sentAt))
	if reportsNotRun(resp, x.server.headers) {
		return nil, x.finishDeclined(resp)
	}
	signed := resp.Header.Get(x.server.headers.Signature) != ""
	if resp.StatusCode != http.StatusOK || !signed {
		return x.handleNonStream(resp, signed, r)
	}
	pace, err := r.copyEvents(resp, x.memory, func() { x.setReadTimeout(x.dispatch.StallTimeout) })
	x.releaseConn(resp, err == nil)
	if err != nil {
		x.reportLongBody(err)
		return nil, outcome.Interrupted{Reason: err.Error(), AnswerStarted: r.headerSent}
	}
	if !r.headerSent {
		r.sendHeader(resp)
	}
	return nil, outcome.Answered{Status: resp.StatusCode, Pace: pace}
}

// reportBegun reports to the core that the caller is about to get the first event of a stream that may
// go on at another worker.
func (x *exchange) reportBegun() {
	if x.dispatch.Route.Resumable {
		x.server.core.Decide(requests.StreamBegun{Request: x.dispatch.Request, Attempt: x.dispatch.Attempt})
	}
}

// handleNonStream reads a response that is not a signed 200, whose body is not a stream. It
// can be forwarded only if it is signed and no event was sent yet.
func (x *exchange) handleNonStream(resp *http.Response, signed bool, r *eventRelay) (*response, outcome.Attempt) {
	if !signed || r.headerSent {
		x.releaseConn(resp, false)
		return nil, outcome.Interrupted{Reason: "the worker answered " + resp.Status, AnswerStarted: r.headerSent}
	}
	body, err := x.readBody(resp)
	if err != nil {
		return nil, outcome.Interrupted{Reason: "the worker answered " + resp.Status, AnswerStarted: r.headerSent}
	}
	return &response{status: resp.StatusCode, header: resp.Header, body: body}, outcome.Answered{Status: resp.StatusCode}
}

func (r *eventRelay) sendHeader(resp *http.Response) {
	copyHeader(r.w.Header(), r.headers.toCaller(resp.Header))
	r.w.WriteHeader(resp.StatusCode)
	r.headerSent, r.firstWrite = true, r.now()
}

// copyEvents forwards complete events until the response ends, and returns their pace. It calls
// beforeRead before each read.
func (r *eventRelay) copyEvents(resp *http.Response, memory *reservation, beforeRead func()) (time.Duration, error) {
	var buffered []byte
	var pace eventPace
	defer memory.release()
	chunk := make([]byte, readChunkSize)
	for {
		beforeRead()
		n, err := resp.Body.Read(chunk)
		buffered = append(buffered, chunk[:n]...)
		if end := completeEventsLen(buffered, n); end > 0 {
			pace = pace.with(bytes.Count(buffered[:end], eventEnd), r.now())
			if werr := r.writeEvents(resp, buffered[:end]); werr != nil {
				return 0, werr
			}
			buffered = append(buffered[:0], buffered[end:]...)
		}
		switch {
		case errors.Is(err, io.EOF) && len(buffered) > 0:
			return 0, errors.New("stream ended within an event")
		case errors.Is(err, io.EOF):
			return pace.mean(), nil
		case err != nil:
			return 0, errors.Wrap(err, "read stream")
		case len(buffered) > maxEventBytes:
			return 0, errTooLong
		}
		if err := memory.grow(cap(buffered)); err != nil {
			return 0, err
		}
	}
}

var eventEnd = []byte("\n\n")

// completeEventsLen returns the length of the complete events at the start of data. No event ends before the last n
// bytes of it.
func completeEventsLen(data []byte, n int) int {
	from := max(0, len(data)-n-len(eventEnd)+1)
	if i := bytes.LastIndex(data[from:], eventEnd); i >= 0 {
		return from + i + len(eventEnd)
	}
	return 0
}

// writeEvents writes complete events to the caller, after the header if they are the first.
func (r *eventRelay) writeEvents(resp *http.Response, events []byte) error {
	id, err := r.checkIDs(events)
	if err != nil {
		return err
	}
	if !r.headerSent {
		r.begin()
		r.sendHeader(resp)
	}
	if _, err := r.w.Write(events); err != nil {
		r.writeFailed = true
		return errors.Wrap(err, "write to caller")
	}
	if err := http.NewResponseController(r.w).Flush(); err != nil {
		r.writeFailed = true
		return errors.Wrap(err, "write to caller")
	}
	if id != "" {
		r.lastEventID = id
	}
	now := r.now()
	if !r.lastWrite.IsZero() {
		r.maxGap = max(r.maxGap, now.Sub(r.lastWrite))
	}
	r.lastWrite = now
	return nil
}

// checkIDs checks that numeric event ids increase, also from one worker to the next, so that
// the caller gets no event twice. It returns the last id.
func (r *eventRelay) checkIDs(events []byte) (string, error) {
	last := r.lastEventID
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		id, ok := strings.CutPrefix(string(line), "id:")
		if !ok {
			continue
		}
		id = strings.TrimSpace(id)
		previousNumber, err1 := strconv.ParseInt(last, 10, 64)
		number, err2 := strconv.ParseInt(id, 10, 64)
		if err1 == nil && err2 == nil && number <= previousNumber {
			return "", errors.Errorf("event id %s is not greater than the last one, %s", id, last)
		}
		last = id
	}
	return last, nil
}
