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
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/requests"
)

const (
	// maxAnswer bounds an answer that is held whole, in bytes. Chosen, not measured.
	maxAnswer = 16 << 20
	// maxForeignAnswers bounds the answers to other requests that are read over.
	maxForeignAnswers = 3
)

// answer is a worker's whole answer to a plain request.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// exchange is one try of a request at a worker.
type exchange struct {
	server   *Server
	dispatch requests.Dispatch
	request  *http.Request
	body     []byte
	conn     *workerConn
	// sent is when the request had been written.
	sent time.Time
	// mu guards brokenOff, which is set once the worker is known to have ended, and the
	// read deadline that follows from it.
	mu        sync.Mutex
	brokenOff bool
}

// send writes the request. The error says whether a byte may have left.
func (x *exchange) send(ctx context.Context, lastEvent string) outcome.Attempt {
	now := x.server.now()
	conn, err := x.server.pool.get(ctx, x.dispatch.Worker, now)
	if err != nil {
		return outcome.NeverSent{Reason: err.Error(), ConnectTimedOut: isTimeout(err) && ctx.Err() == nil, ConnectRefused: isRefused(err)}
	}
	x.conn = conn
	left := x.dispatch.Deadline.Sub(x.server.now())
	if left <= 0 {
		_ = conn.Close()
		return outcome.NeverSent{Reason: "no time left"}
	}
	_ = conn.SetDeadline(clock.Real(x.dispatch.Deadline))
	head := x.head(x.server.headers.toWorker(x.request.Header, x.dispatch, left, lastEvent))
	x.server.running.begin(x)
	n, err := conn.Write(append(head, x.body...))
	if err != nil {
		_ = conn.Close()
		if n == 0 {
			return outcome.NeverSent{Reason: err.Error()}
		}
		return outcome.Interrupted{Reason: err.Error()}
	}
	x.sent = x.server.now()
	return nil
}

// errHeaderLate ends an attempt whose answer has not begun, as the request goes to another
// worker.
var errHeaderLate = errors.New("no response header within the timeout")

// awaitHeader waits until the answer begins or the request goes elsewhere.
func (x *exchange) awaitHeader() error {
	if x.dispatch.HeaderTimeout == 0 {
		return nil
	}
	x.boundReads(x.dispatch.HeaderTimeout)
	_, err := x.conn.reader.Peek(1)
	if isTimeout(err) && x.isBrokenOff() {
		return errBrokenOff
	}
	if isTimeout(err) && x.server.givesUp(x.dispatch, x.server.now().Sub(x.sent)) {
		return errHeaderLate
	}
	x.boundReads(0)
	return nil
}

// isTimeout tells whether a connection was not answered in time.
func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// isRefused tells whether no process listens where a connection was to lead.
func isRefused(err error) bool { return errors.Is(err, unix.ECONNREFUSED) }

// isSilence tells whether nothing came from a worker in the time allowed.
func isSilence(err error) bool { return errors.Is(err, errHeaderLate) || isTimeout(err) }

// boundReads bounds the next reads by d, and in any case by the deadline; where the worker
// has ended, by what may still be on its way.
func (x *exchange) boundReads(d time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	by := x.dispatch.Deadline
	if x.brokenOff {
		d = breakOffGrace
	}
	if limit := x.server.now().Add(d); d > 0 && limit.Before(by) {
		by = limit
	}
	_ = x.conn.SetReadDeadline(clock.Real(by))
}

// head writes the request line and headers.
func (x *exchange) head(h http.Header) []byte {
	var b bytes.Buffer
	b.WriteString(x.request.Method + " " + x.request.RequestURI + " HTTP/1.1\r\nHost: " + x.request.Host + "\r\n")
	if len(x.body) > 0 || x.request.ContentLength != 0 || x.request.Method == http.MethodPost {
		b.WriteString("Content-Length: " + strconv.Itoa(len(x.body)) + "\r\n")
	}
	_ = h.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// receive reads the head of the answer to this request, passing over answers
// to others that arrive late.
func (x *exchange) receive() (*http.Response, error) {
	if err := x.awaitHeader(); err != nil {
		return nil, err
	}
	for range maxForeignAnswers {
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.request.Method})
		if err != nil {
			return nil, errors.Wrap(err, "read the answer")
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		names := x.server.headers
		id := resp.Header.Get(names.RequestID)
		if id == string(x.dispatch.Request) || id == "" && notRun(resp, names) {
			return resp, nil
		}
		if id == "" {
			// It answers no request, but says what the worker needs.
			x.server.reportHeader(x.dispatch, resp, 0)
			return nil, errors.New("an answer without id")
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswer)); err != nil {
			return nil, errors.Wrap(err, "read over a late answer")
		}
	}
	return nil, errors.New("too many answers to other requests")
}

// notRun tells whether the worker says that it did not run the request.
func notRun(resp *http.Response, names Headers) bool {
	return resp.Header.Get(names.NotRun) != "" || resp.StatusCode == http.StatusMisdirectedRequest
}

// declined returns the outcome of an answer that says not-run.
func (x *exchange) declined(resp *http.Response) outcome.Attempt {
	misdirected := resp.StatusCode == http.StatusMisdirectedRequest
	_, err := readBody(resp)
	x.end(resp, err == nil && !misdirected)
	said := x.server.headers.notice(resp, x.server.now())
	return outcome.Declined{Reason: resp.Status, Leaving: misdirected, RetryAfter: max(said.Backoff, said.SoftBackoff)}
}

// end keeps the connection for another request, or closes it.
func (x *exchange) end(resp *http.Response, whole bool) {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if !whole || resp.Close || !framed || x.conn.reader.Buffered() > 0 {
		_ = x.conn.Close()
		return
	}
	x.server.pool.put(x.conn, keepAliveTime(resp.Header), x.server.now())
}

// keepAliveTime reads how long the worker keeps the connection; 0 where it does
// not say.
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return nil, errors.Wrap(err, "read the answer's body")
	}
	if len(body) > maxAnswer {
		return nil, errors.New("the answer is too long")
	}
	return body, nil
}

// plain makes one try of a request whose answer is held whole.
func (x *exchange) plain(ctx context.Context) (*answer, outcome.Attempt) {
	if failed := x.send(ctx, ""); failed != nil {
		return nil, failed
	}
	stop := context.AfterFunc(ctx, func() { _ = x.conn.Close() })
	defer stop()
	resp, err := x.receive()
	if err != nil {
		_ = x.conn.Close()
		return nil, outcome.Interrupted{Reason: err.Error(), TimedOut: isSilence(err)}
	}
	x.server.reportHeader(x.dispatch, resp, x.server.now().Sub(x.sent))
	if notRun(resp, x.server.headers) {
		return nil, x.declined(resp)
	}
	body, err := readBody(resp)
	x.end(resp, err == nil)
	if err != nil {
		return nil, outcome.Interrupted{Reason: err.Error()}
	}
	if resp.Header.Get(x.server.headers.Signature) == "" || resp.Header.Get("Content-Encoding") != "" {
		return nil, outcome.Interrupted{Reason: "the answer is not signed by a worker"}
	}
	return &answer{status: resp.StatusCode, header: resp.Header, body: body}, outcome.Answered{Status: resp.StatusCode}
}
