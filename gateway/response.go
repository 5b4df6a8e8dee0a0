// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/common/responses"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/requests"
)

const (
	// DefaultMaxHeader bounds the head of a response in bytes.
	DefaultMaxHeader = 64 << 10
	// maxHeaderFields bounds the fields of a head, as a field of a few bytes occupies over a hundred once it is parsed.
	maxHeaderFields = 256
	// maxResponseBytes bounds the body of a response that is buffered, and all bodies together that are
	// skipped for one request.
	maxResponseBytes = 16 << 20
	// minBodyBuffer is the first size of the buffer for a body.
	minBodyBuffer = 4 << 10
	// maxDeclineBytes and declineBodyTimeout bound the body of a response that says that the request was not
	// run, which changes nothing. If it takes more, the connection is closed.
	maxDeclineBytes    = 64 << 10
	declineBodyTimeout = 100 * time.Millisecond
	// maxForeignResponses bounds the responses to other requests that are skipped on a connection.
	maxForeignResponses = 3
)

// match says whether a response belongs to an attempt.
type match uint8

const (
	// matchUnknown is the match of a response that may belong to another request or to none.
	matchUnknown match = iota
	matchOwn
	matchOther
)

// matchOf returns whether a response belongs to this attempt. A worker's response repeats the id of its request
// (docs/worker-contract.md), and no two attempts of a request share a connection, so an id decides. Responses
// come in the order of their requests (RFC 9112, 9.3.2): one without an id belongs to this attempt if it is the
// first on a connection that has carried no other request.
func (x *exchange) matchOf(resp *http.Response) match {
	id := resp.Header.Get(x.server.headers.RequestID)
	switch {
	case id == string(x.dispatch.Request):
		return matchOwn
	case id != "":
		return matchOther
	case x.first && x.skipped == 0:
		return matchOwn
	}
	return matchUnknown
}

// errUnidentified is the error of an attempt for which a response came that cannot be matched, and none that can.
var errUnidentified = errors.New("response without request id")

// readResponse reads the header of the response to this request. It skips responses to other requests and those that cannot be matched.
func (x *exchange) readResponse() (*http.Response, error) {
	if err := x.awaitHeader(); err != nil {
		return nil, err
	}
	for range maxForeignResponses {
		resp, err := x.readFinalHead()
		if err != nil {
			return nil, x.readError(err)
		}
		matched := x.matchOf(resp)
		unidentified := resp.Header.Get(x.server.headers.RequestID) == ""
		if unidentified {
			x.reportUnidentified(resp, matched)
		}
		if matched == matchOwn && (!unidentified || reportsNotRun(resp, x.server.headers)) {
			x.setReadTimeout(0)
			x.unframed = !isFramed(resp)
			if isUnmarkedRefusal(resp, x.server.headers) {
				x.reportIrregular(UnmarkedRefusal)
			}
			return resp, nil
		}
		if unidentified && !x.awaitsAnswerBehind(matched) {
			return nil, errUnidentified
		}
		if err := x.skip(resp, matched); err != nil {
			return nil, x.readError(err)
		}
	}
	return nil, x.readError(errors.New("too many responses to other requests"))
}

// readFinalHead reads the head of a response after any number of interim ones, all within the limit on the size of a head. The body must be read
// before the next head.
func (x *exchange) readFinalHead() (*http.Response, error) {
	x.conn.limit.set(x.server.maxHeader)
	defer x.conn.limit.remove()
	for {
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.request.Method})
		if err == nil && fieldCount(resp.Header) > maxHeaderFields {
			err = errTooLong
		}
		switch {
		case errors.Is(err, errTooLong):
			x.reportIrregular(LongHeader)
		case isMalformed(err):
			x.reportIrregular(MalformedHead)
		}
		if err != nil {
			return nil, err //nolint:wrapcheck // readError wraps it.
		}
		switch responses.KindOf(resp) {
		case responses.Malformed:
			x.reportIrregular(MalformedHead)
			return nil, errors.Wrapf(responses.ErrMalformed, "status %.3q", resp.Status)
		case responses.Final:
			return resp, nil
		case responses.Interim:
		}
	}
}

// isMalformed reports whether bytes were read that are no head, rather than none or too few.
func isMalformed(err error) bool {
	var failure net.Error
	return err != nil && !errors.Is(err, errTooLong) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.As(err, &failure)
}

// fieldCount returns the number of fields of a head.
func fieldCount(h http.Header) int {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	return n
}

// awaitsAnswerBehind reports whether to wait for the answer behind a response that cannot be matched, and limits the
// time for it to the route's objective. A request that the core sends to another worker does not wait.
func (x *exchange) awaitsAnswerBehind(matched match) bool {
	remaining := time.Duration(x.dispatch.Route.Objective) - x.server.now().Sub(x.sentAt)
	if matched != matchUnknown || remaining <= 0 {
		return false
	}
	d := x.dispatch
	if x.server.isCanceled(requests.ResponseUnmatched{Request: d.Request, Attempt: d.Attempt}, d.Request) {
		return false
	}
	x.setReadTimeout(remaining)
	return true
}

// skip reads the body of a response that is not this request's.
func (x *exchange) skip(resp *http.Response, matched match) error {
	x.skipped++
	if matched == matchOther {
		x.reportIrregular(ForeignResponse)
	}
	remaining := maxResponseBytes - x.skippedBytes
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, remaining+1))
	x.skippedBytes += n
	if n > remaining {
		x.reportIrregular(LongBody)
		return errTooLong
	}
	return errors.Wrap(err, "skip response")
}

// readError returns the error of an attempt that read no response of its own.
func (x *exchange) readError(err error) error {
	if x.unidentified {
		return errUnidentified
	}
	return errors.Wrap(err, "read the answer")
}

// reportUnidentified reports a response without a request id, and ends the reuse of connections to its worker.
func (x *exchange) reportUnidentified(resp *http.Response, matched match) {
	x.unidentified = true
	x.reportIrregular(UnidentifiedResponse)
	x.server.pool.stopReuse(x.conn.process, x.server.now())
	if matched != matchOwn || !reportsNotRun(resp, x.server.headers) {
		x.server.reportNotice(x.dispatch, resp, x.conn)
	}
}

// reportsNotRun reports whether the response states that the worker did not run the request.
func reportsNotRun(resp *http.Response, names Headers) bool {
	return resp.Header.Get(names.NotRun) != "" || resp.StatusCode == http.StatusMisdirectedRequest
}

// isUnmarkedRefusal reports whether the response has a status that hosts send only for requests that were not run,
// but does not state that this one was not.
func isUnmarkedRefusal(resp *http.Response, names Headers) bool {
	switch resp.StatusCode {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return !reportsNotRun(resp, names)
	}
	return false
}

// finishDeclined releases the connection and returns the result of a response that reports
// the request as not run. It closes the connection after status 421, which comes from another process
// at the worker's address.
func (x *exchange) finishDeclined(resp *http.Response) outcome.Attempt {
	misdirected := resp.StatusCode == http.StatusMisdirectedRequest
	x.setReadTimeout(declineBodyTimeout)
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDeclineBytes+1))
	x.releaseConn(resp, err == nil && n <= maxDeclineBytes && !misdirected)
	notice := x.server.headers.parseNotice(resp, x.server.now())
	return outcome.Declined{Reason: resp.Status, Leaving: misdirected, RetryAfter: max(notice.Backoff, notice.SoftBackoff)}
}

// releaseConn returns the connection to the pool, or closes it if the worker asked for
// that, the response was incomplete, unframed or followed by surplus bytes, another one had no id, or the
// attempt was ended.
func (x *exchange) releaseConn(resp *http.Response, complete bool) {
	if complete && x.conn.reader.Buffered() > 0 {
		x.reportIrregular(SurplusBytes)
	}
	if !x.stopClosing() || !complete || x.unidentified || resp.Close || !isFramed(resp) || x.conn.reader.Buffered() > 0 {
		_ = x.conn.Close()
		return
	}
	x.server.pool.release(x.conn, keepAliveTime(resp.Header), x.server.now())
}

// isFramed reports whether a response has a length or chunks. Otherwise its body ends with the connection.
func isFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// keepAliveTime returns the timeout parameter of the Keep-Alive header; 0 if there is none.
func keepAliveTime(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// readBody reads the body of the response and releases the connection.
func (x *exchange) readBody(resp *http.Response) ([]byte, error) {
	body, err := readBody(resp, x.memory)
	x.reportLongBody(err)
	x.releaseConn(resp, err == nil)
	return body, err
}

// reportLongBody reports a body that could not be buffered because of its size.
func (x *exchange) reportLongBody(err error) {
	if errors.Is(err, errTooLong) || errors.Is(err, errMemory) {
		x.reportIrregular(LongBody)
	}
}

// readBody reads the body of a response into reserved memory.
func readBody(resp *http.Response, r *reservation) ([]byte, error) {
	if resp.ContentLength > maxResponseBytes {
		return nil, errTooLong
	}
	body := make([]byte, 0, minBodyBuffer)
	for {
		if len(body) == cap(body) {
			if len(body) > maxResponseBytes {
				return nil, errTooLong
			}
			size := min(2*cap(body), maxResponseBytes+1)
			if err := r.grow(size); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "read response body")
		}
	}
}
