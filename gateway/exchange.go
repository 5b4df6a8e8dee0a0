// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/yardhall/yardhall/common/clock"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/requests"
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
	// tried are the connections of earlier attempts, withheld those that nothing was sent over.
	tried    triedConns
	withheld withheldConns
	// connectedAt is when the connection was open, sentAt when the request was completely written.
	connectedAt time.Time
	sentAt      time.Time
	// first is set if the connection had carried no other request.
	first bool
	// via is the host that the connection goes through; empty if it goes to the worker directly. reused is
	// set if it had been idle.
	via    ident.Host
	reused bool
	// unframed is set if the response ends with its connection, skipped counts responses to other
	// requests, unidentified is set if a response had no request id.
	unframed     bool
	skipped      int
	skippedBytes int64
	unidentified bool
	// memory is what the response occupies.
	memory *reservation
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
		x.keepUnused()
		return outcome.NeverSent{Reason: "the worker may have begun to leave since it was chosen, or its process is not known", Withheld: true}
	}
	remaining := x.dispatch.Deadline.Sub(x.server.now())
	if remaining <= 0 {
		_ = conn.Close()
		return outcome.NeverSent{Reason: "deadline exceeded before the request was sent"}
	}
	_ = conn.SetDeadline(clock.Real(x.dispatch.Deadline))
	head := x.encodeHead(x.server.headers.toWorker(x.request.Header, x.dispatch, remaining, lastEventID))
	x.server.exchanges.add(x)
	x.first = conn.lastRequest == ""
	conn.lastRequest = x.dispatch.Request
	n, err := writeRequest(conn, head, x.body)
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

// maxJoinedBody is the largest body that is copied behind its head, to be written at once.
const maxJoinedBody = 4 << 10

// writeRequest writes head and body, and returns the number of bytes written. A large body is not copied.
func writeRequest(w io.Writer, head, body []byte) (int, error) {
	if len(body) <= maxJoinedBody {
		return w.Write(append(head, body...)) //nolint:wrapcheck // The caller reports it.
	}
	n, err := w.Write(head)
	if err != nil {
		return n, err //nolint:wrapcheck // The caller reports it.
	}
	m, err := w.Write(body)
	return n + m, err //nolint:wrapcheck // The caller reports it.
}

// isWithheld reports whether the core withholds the request from its worker, as it took long from the choice
// of the worker until the request could be written.
func (x *exchange) isWithheld() bool {
	x.connectedAt = x.server.now()
	if !x.dispatch.ReportsConnection && x.connectedAt.Sub(x.dispatch.DecidedAt) <= requests.MaxUncheckedDelay {
		return false
	}
	connected := requests.Connected{Request: x.dispatch.Request, Attempt: x.dispatch.Attempt}
	if x.dispatch.ReportsConnection {
		connected.OpenedAt = x.conn.openedAt
	}
	return x.server.isCanceled(connected, x.dispatch.Request)
}

// keepUnused keeps a connection over which nothing was sent, for a later attempt of the request at the same process, or
// returns it to the pool.
func (x *exchange) keepUnused() {
	if x.dispatch.ReportsConnection && !x.withheld.has(x.conn.process) {
		x.withheld[x.conn.process] = x.conn
	} else {
		x.server.pool.release(x.conn, 0, x.server.now())
	}
	x.conn = nil
}

// withheldConns are the connections over which a request was not sent after all, by process.
type withheldConns map[workerProcess]*workerConn

func (w withheldConns) has(p workerProcess) bool { return w[p] != nil }

// take removes and returns the connection to a process if it is still open, or returns nil.
func (w withheldConns) take(p workerProcess) *workerConn {
	c := w[p]
	delete(w, p)
	if c != nil && !c.isUsable() {
		_ = c.Close()
		return nil
	}
	return c
}

// releaseAll returns the connections to the pool.
func (w withheldConns) releaseAll(s *Server) {
	for _, c := range w {
		s.pool.release(c, 0, s.now())
	}
}

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
	// A head that has begun has as long again to end.
	rest := x.dispatch.HeaderTimeout
	if err != nil {
		rest = 0
	}
	x.setReadTimeout(rest)
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
	if resp.Header.Get(x.server.headers.Signature) == "" || resp.Header.Get("Content-Encoding") != "" {
		x.releaseConn(resp, false)
		return nil, outcome.Interrupted{Reason: "response without a worker's signature"}
	}
	body, err := x.readBody(resp)
	if err != nil {
		return nil, outcome.Interrupted{Reason: err.Error()}
	}
	return &response{status: resp.StatusCode, header: resp.Header, body: body}, outcome.Answered{Status: resp.StatusCode, Pace: took}
}
