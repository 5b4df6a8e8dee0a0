// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/yardhall/yardhall/common/clock"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/requests"
)

const (
	// maxResponseBytes bounds the body of a response that is buffered.
	maxResponseBytes = 16 << 20
	// maxForeignResponses bounds the responses to other requests, and interim ones, that
	// are skipped on a connection.
	maxForeignResponses = 3
)

// response is a worker's buffered HTTP response.
type response struct {
	status int
	header http.Header
	body   []byte
}

// exchange is one attempt of a request at a worker.
type exchange struct {
	server   *Server
	dispatch requests.Dispatch
	request  *http.Request
	body     []byte
	conn     *workerConn
	// stopClosing keeps the connection from being closed once the caller has left or the deadline has
	// passed. It returns false if that has happened.
	stopClosing func() bool
	// tried are the connections of earlier attempts.
	tried triedConns
	// connectedAt is when the connection was open, sentAt when the request was completely written.
	connectedAt time.Time
	sentAt      time.Time
	// via is the host that the connection goes through; empty if it goes to the worker directly. reused is
	// set if it had been idle.
	via    ident.Host
	reused bool
	// unframed is set if the response ends with its connection, skipped counts responses to other
	// requests, unidentified is set if a response had no request id.
	unframed     bool
	skipped      int
	unidentified bool
	// mu guards aborted and the read deadline of conn, which depends on it.
	mu      sync.Mutex
	aborted bool
}

// send writes the request. It returns nil on success, NeverSent if no byte can have reached
// the worker and Interrupted otherwise.
func (x *exchange) send(ctx context.Context, lastEventID string) outcome.Attempt {
	conn, failure := x.connect(ctx)
	if failure != nil {
		return failure
	}
	x.conn = conn
	if x.isWithheld() {
		x.releaseUnused()
		return outcome.NeverSent{Reason: "the worker may have begun to leave since it was chosen", Withheld: true}
	}
	remaining := x.dispatch.Deadline.Sub(x.server.now())
	if remaining <= 0 {
		_ = conn.Close()
		return outcome.NeverSent{Reason: "deadline exceeded before the request was sent"}
	}
	_ = conn.SetDeadline(clock.Real(x.dispatch.Deadline))
	head := x.encodeHead(x.server.headers.toWorker(x.request.Header, x.dispatch, remaining, lastEventID))
	x.server.exchanges.add(x)
	conn.lastRequest = x.dispatch.Request
	n, err := conn.Write(append(head, x.body...))
	if err != nil {
		_ = conn.Close()
		if n == 0 {
			return outcome.NeverSent{Reason: err.Error()}
		}
		return outcome.Interrupted{Reason: err.Error()}
	}
	x.sentAt = x.server.now()
	return nil
}

// isWithheld reports whether the core withholds the request from its worker, as it took long from the choice
// of the worker until the request could be written.
func (x *exchange) isWithheld() bool {
	x.connectedAt = x.server.now()
	if x.connectedAt.Sub(x.dispatch.DecidedAt) <= requests.MaxUncheckedDelay {
		return false
	}
	return x.server.isCanceled(requests.Connected{Request: x.dispatch.Request, Attempt: x.dispatch.Attempt}, x.dispatch.Request)
}

// releaseUnused returns a connection over which nothing was sent to the pool.
func (x *exchange) releaseUnused() { x.server.pool.release(x.conn, 0, x.server.now()) }

// errHeaderTimeout is the error of an attempt that was canceled because the response header
// did not arrive in time and the request goes to another worker.
var errHeaderTimeout = errors.New("no response header within the timeout")

// awaitHeader waits for the first byte of the response. It returns an error if the attempt
// was aborted, or if the header timeout passed and the core cancels the attempt; other read
// errors are left to the next read.
func (x *exchange) awaitHeader() error {
	if x.dispatch.HeaderTimeout == 0 {
		return nil
	}
	x.setReadTimeout(x.dispatch.HeaderTimeout)
	_, err := x.conn.reader.Peek(1)
	if IsTimeout(err) && x.isAborted() {
		return errWorkerRestarted
	}
	if IsTimeout(err) && x.server.reportHeaderTimeout(x.dispatch, x.server.now().Sub(x.sentAt)) {
		return errHeaderTimeout
	}
	x.setReadTimeout(0)
	return nil
}

// IsTimeout reports whether a network operation timed out.
func IsTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// IsConnRefused reports whether a dial was refused because no process listens there.
func IsConnRefused(err error) bool { return errors.Is(err, unix.ECONNREFUSED) }

// isResponseTimeout reports whether a worker sent nothing in the time allowed.
func isResponseTimeout(err error) bool { return errors.Is(err, errHeaderTimeout) || IsTimeout(err) }

// setReadTimeout bounds the next reads by timeout, or by abortGrace once the exchange is
// aborted, and always by the deadline of the attempt. A timeout of 0 leaves only the deadline.
func (x *exchange) setReadTimeout(timeout time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	deadline := x.dispatch.Deadline
	if x.aborted {
		timeout = abortGrace
	}
	if limit := x.server.now().Add(timeout); timeout > 0 && limit.Before(deadline) {
		deadline = limit
	}
	_ = x.conn.SetReadDeadline(clock.Real(deadline))
}

// encodeHead returns the request line and headers in HTTP/1.1 format.
func (x *exchange) encodeHead(h http.Header) []byte {
	var b bytes.Buffer
	b.WriteString(x.request.Method + " " + x.request.RequestURI + " HTTP/1.1\r\nHost: " + x.request.Host + "\r\n")
	if len(x.body) > 0 || x.request.ContentLength != 0 || x.request.Method == http.MethodPost {
		b.WriteString("Content-Length: " + strconv.Itoa(len(x.body)) + "\r\n")
	}
	_ = h.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// readResponse reads the header of the response to this request. It skips interim responses
// and late responses to other requests.
func (x *exchange) readResponse() (*http.Response, error) {
	if err := x.awaitHeader(); err != nil {
		return nil, err
	}
	for range maxForeignResponses {
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.request.Method})
		if err != nil {
			return nil, errors.Wrap(err, "read the answer")
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		names := x.server.headers
		id := resp.Header.Get(names.RequestID)
		if id == "" {
			x.unidentified = true
			x.reportIrregular(UnidentifiedResponse)
		}
		if id == string(x.dispatch.Request) || id == "" && reportsNotRun(resp, names) {
			x.unframed = !isFramed(resp)
			return resp, nil
		}
		if id == "" {
			// The response cannot be matched to a request, but its backoff still counts.
			x.server.reportHeader(x.dispatch, resp, x.conn, 0)
			return nil, errors.New("response without request id")
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes)); err != nil {
			return nil, errors.Wrap(err, "skip late response")
		}
		x.skipped++
		x.reportIrregular(ForeignResponse)
	}
	return nil, errors.New("too many responses to other requests")
}

// reportsNotRun reports whether the response states that the worker did not run the request.
func reportsNotRun(resp *http.Response, names Headers) bool {
	return resp.Header.Get(names.NotRun) != "" || resp.StatusCode == http.StatusMisdirectedRequest
}

// finishDeclined releases the connection and returns the result of a response that reports
// the request as not run. It closes the connection after status 421, which comes from another process
// at the worker's address, and after a response without an id, as a late copy of it could not be
// distinguished from the response to the next request.
func (x *exchange) finishDeclined(resp *http.Response) outcome.Attempt {
	misdirected := resp.StatusCode == http.StatusMisdirectedRequest
	withoutID := resp.Header.Get(x.server.headers.RequestID) == ""
	_, err := readBody(resp)
	x.releaseConn(resp, err == nil && !misdirected && !withoutID)
	notice := x.server.headers.parseNotice(resp, x.server.now())
	return outcome.Declined{Reason: resp.Status, Leaving: misdirected, RetryAfter: max(notice.Backoff, notice.SoftBackoff)}
}

// releaseConn returns the connection to the pool, or closes it if the worker asked for
// that, the response was incomplete, unframed or followed by surplus bytes, or the attempt was ended.
func (x *exchange) releaseConn(resp *http.Response, complete bool) {
	if complete && x.conn.reader.Buffered() > 0 {
		x.reportIrregular(SurplusBytes)
	}
	if !x.stopClosing() || !complete || resp.Close || !isFramed(resp) || x.conn.reader.Buffered() > 0 {
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

func readBody(resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read response body")
	}
	if len(body) > maxResponseBytes {
		return nil, errors.New("response body exceeds the size limit")
	}
	return body, nil
}

// attemptPlain makes one attempt and buffers the response.
func (x *exchange) attemptPlain(ctx context.Context) (*response, outcome.Attempt) {
	if failure := x.send(ctx, ""); failure != nil {
		return nil, failure
	}
	x.stopClosing = context.AfterFunc(ctx, func() { _ = x.conn.Close() })
	defer x.stopClosing()
	resp, err := x.readResponse()
	if err != nil {
		_ = x.conn.Close()
		return nil, outcome.Interrupted{Reason: err.Error(), TimedOut: isResponseTimeout(err)}
	}
	took := x.server.now().Sub(x.sentAt)
	x.server.reportHeader(x.dispatch, resp, x.conn, took)
	if reportsNotRun(resp, x.server.headers) {
		return nil, x.finishDeclined(resp)
	}
	body, err := readBody(resp)
	x.releaseConn(resp, err == nil)
	if err != nil {
		return nil, outcome.Interrupted{Reason: err.Error()}
	}
	if resp.Header.Get(x.server.headers.Signature) == "" || resp.Header.Get("Content-Encoding") != "" {
		return nil, outcome.Interrupted{Reason: "response without a worker's signature"}
	}
	return &response{status: resp.StatusCode, header: resp.Header, body: body}, outcome.Answered{Status: resp.StatusCode, Pace: took}
}
