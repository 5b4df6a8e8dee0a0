// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway

import (
	"cmp"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/common/clock"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/requests"
)

// defaultMaxBody bounds a request's body in bytes if the configuration sets no limit.
const defaultMaxBody = 8 << 20

// errBodyTooLong is the error of a body that exceeds the configured limit.
var errBodyTooLong = errors.New("request body exceeds the size limit")

// bodyMemoryError is the error of a body for which there is no memory.
type bodyMemoryError struct{ retryAfter time.Duration }

// Error implements error.
func (bodyMemoryError) Error() string { return "no memory for the request body" }

// bodyReader reads the body of one request within the memory for bodies.
type bodyReader struct {
	server    *Server
	writer    http.ResponseWriter
	request   *http.Request
	parsed    requests.Request
	limit     int64
	allowance time.Duration
	startedAt time.Time
	hold      *bodyHold
}

// readBody reads the complete body of a request into memory that the hold stands for.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, req requests.Request) ([]byte, *bodyHold, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil, nil
	}
	limits := s.core.Limits()
	b := &bodyReader{
		server: s, writer: w, request: r, parsed: req, limit: limits.MaxBodyBytes,
		allowance: cmp.Or(time.Duration(limits.HeaderTimeout), bodyAllowance),
	}
	if b.limit <= 0 {
		b.limit = defaultMaxBody
	}
	if r.ContentLength > b.limit {
		return nil, nil, errBodyTooLong
	}
	stop := s.interruptBody(w)
	body, err := b.read()
	if interrupted := stop(); interrupted && !errors.Is(err, errBodyTooLong) {
		err = errStopping
	}
	if err != nil {
		b.hold.release(s.now())
		return nil, nil, err
	}
	b.hold.shrink(int64(cap(body)), s.now())
	return body, b.hold, nil
}

// read reads the body. One of unknown length begins as a small one.
func (b *bodyReader) read() ([]byte, error) {
	size := b.request.ContentLength
	if size < 0 {
		size = min(smallBody, b.limit)
	}
	if err := b.acquire(size); err != nil {
		return nil, err
	}
	b.startedAt = b.server.now()
	body := make([]byte, 0, size)
	control := http.NewResponseController(b.writer)
	for {
		now := b.server.now()
		_ = control.SetReadDeadline(clock.Real(bodyDeadline(b.startedAt, len(body), b.allowance, now)))
		if b.server.stopping.bodiesRefused.Err() != nil {
			return nil, errStopping
		}
		n, err := b.request.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			// The server goes on reading to notice a caller that leaves.
			_ = control.SetReadDeadline(time.Time{})
			return body, b.checkLength(body)
		}
		if err == nil && len(body) == cap(body) {
			body, err = b.grow(body)
		}
		if err != nil {
			return nil, err //nolint:wrapcheck // Only its kind is used.
		}
	}
}

// grow returns a buffer for a body of unknown length that is larger than the one it has. The memory for the longest
// body is claimed once, so that no two bodies wait for the rest of each other's memory.
func (b *bodyReader) grow(body []byte) ([]byte, error) {
	if err := b.checkLength(body); err != nil {
		return nil, err
	}
	if b.hold.claim.small {
		small := b.hold
		err := b.acquire(b.limit + 1)
		small.release(b.server.now())
		if err != nil {
			return nil, err
		}
	}
	return append(make([]byte, 0, min(2*int64(cap(body))+1, b.limit+1)), body...), nil
}

func (b *bodyReader) checkLength(body []byte) error {
	if int64(len(body)) > b.limit {
		return errBodyTooLong
	}
	return nil
}

// acquire claims the memory for a body of the given length.
func (b *bodyReader) acquire(length int64) error {
	m := b.server.bodies
	wait := bodyWaitLimit(b.parsed.Deadline, b.server.now())
	claim := m.limits.claimOf(length, b.server.core.Rank(b.parsed), b.parsed.KeyHash)
	ctx, cancel := withStop(b.request.Context(), b.server.stopping.bodiesRefused)
	defer cancel()
	hold, retryAfter := m.acquire(ctx, claim, wait, b.server.now)
	b.hold = hold
	if hold == nil {
		return bodyMemoryError{retryAfter: retryAfter}
	}
	return nil
}

// refuseBody responds to a request whose body was not read, and was not run.
func (c *serverCall) refuseBody(err error) {
	c.boundUnreadBody()
	var full bodyMemoryError
	switch {
	case errors.Is(err, errStopping):
		c.finish(stoppingVerdict())
	case errors.As(err, &full):
		c.finish(requests.Verdict{
			Outcome: outcome.NotRun, Code: requests.CodeOverloaded, Reason: full.Error(), RetryAfter: full.retryAfter, TryOtherHost: true,
		})
	case errors.Is(err, errBodyTooLong):
		http.Error(c.writer, http.StatusText(http.StatusRequestEntityTooLarge), http.StatusRequestEntityTooLarge)
	default:
		http.Error(c.writer, http.StatusText(http.StatusRequestTimeout), http.StatusRequestTimeout)
	}
}

// boundUnreadBody closes the connection behind the response, and does not wait for the rest of the body.
func (c *serverCall) boundUnreadBody() {
	c.writer.Header().Set("Connection", "close")
	_ = http.NewResponseController(c.writer).SetReadDeadline(clock.Real(c.server.now().Add(unreadBodyTime)))
}

// unreadBodyTime bounds the time that net/http takes to discard the rest of a body once the response is written.
const unreadBodyTime = 500 * time.Millisecond
