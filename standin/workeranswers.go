// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// SlowStreamPause is the time between two events of a SlowStream.
	SlowStreamPause = 900 * time.Millisecond
	// WorkerBody is the body of a plain answer.
	WorkerBody = "the worker's whole answer"
	// WorkerEvents is the number of events in a stream.
	WorkerEvents = 5
	// WorkerBackoff is the time that a worker asks for with FullForAWhile and Overloaded.
	WorkerBackoff = 1500 * time.Millisecond
)

// streamFaults are the faults with which a worker answers by a stream.
var streamFaults = []WorkerFault{Sound, CutEvent, CutOnce, SlowStream, SlowUnframedStream, UnframedStream, UnframedCut}

// answer serves one request and tells whether the connection goes on.
func (w *Worker) answer(conn *answerConn, req *http.Request, body string) bool {
	id := req.Header.Get(w.names.RequestID)
	if expect := req.Header.Get(w.names.Expect); expect != "" && expect != w.ID {
		return write(conn, "HTTP/1.1 421 Misdirected Request\r\n"+w.names.Instance+": "+w.ID+"\r\nContent-Length: 0\r\n\r\n")
	}
	fault := w.take()
	if decline := w.decline(fault, id); decline != "" {
		return conn.answer(decline, fault)
	}
	endless, isEndless := w.endless(fault, id)
	if isEndless && fault.isNotRun() {
		w.sendEndless(conn, endless)
		return false
	}
	w.mu.Lock()
	w.runs = append(w.runs, WorkerRun{ID: id, Method: req.Method, Path: req.RequestURI, Body: body, Header: req.Header})
	w.mu.Unlock()
	if isEndless {
		w.sendEndless(conn, endless)
		return false
	}
	if surplus, ok := w.surplusResponses()[fault]; ok {
		defer func() { conn.due = surplus }()
		fault = Sound
	}
	if strings.Contains(req.URL.Path, "/stream/") && slices.Contains(streamFaults, fault) {
		return w.stream(conn, req, id, fault)
	}
	return w.plain(conn, id, fault)
}

// answerConn is a connection to a worker.
type answerConn struct {
	net.Conn
	// due is sent ahead of the next answer.
	due string
}

// Write implements net.Conn.
func (c *answerConn) Write(p []byte) (int, error) {
	if due := c.due; due != "" {
		c.due = ""
		if _, err := io.WriteString(c.Conn, due); err != nil {
			return 0, errors.Wrap(err, "write")
		}
	}
	return c.Conn.Write(p) //nolint:wrapcheck // As net.Conn does.
}

// answer sends a whole answer, again ahead of the next one if the fault says so.
func (c *answerConn) answer(text string, fault WorkerFault) bool {
	ok := write(c, text)
	if slices.Contains([]WorkerFault{FullTwice, LimitedTwice, UnidentifiedTwice, UnsignedTwice}, fault) {
		c.due = text
	}
	return ok
}

// decline returns the answer of a fault that does not run the request; empty for others.
func (w *Worker) decline(fault WorkerFault, id string) string {
	const status503, status429 = "503 Service Unavailable", "429 Too Many Requests"
	named := w.names.RequestID + ": " + id + "\r\n"
	backoff := fmt.Sprintf("Retry-After: %g\r\n", WorkerBackoff.Seconds())
	switch fault { //nolint:exhaustive // All others run the request.
	case Full, FullTwice:
		return w.declined(status503, named)
	case LimitedTwice:
		return w.declined(status429, named)
	case UnidentifiedTwice, UnidentifiedFull:
		return w.declined(status503, "")
	case FullForAWhile:
		return w.declined(status503, named+backoff)
	case Overloaded:
		return "HTTP/1.1 503 Service Unavailable\r\n" + backoff + "Content-Length: 0\r\n\r\n"
	}
	return ""
}

func (w *Worker) head(status int, id string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: stamp-of-%s\r\n%s: 1,0,8\r\n%s",
		status, http.StatusText(status), w.names.RequestID, id, w.names.Signature, w.ID, w.names.Load, w.leaves())
}

// declined is the answer to a request that the worker does not run.
func (w *Worker) declined(status, more string) string {
	return "HTTP/1.1 " + status + "\r\n" + w.names.NotRun + ": 1\r\n" + more + w.leaves() + "Content-Length: 0\r\n\r\n"
}

// leaves is the header by which the worker says that it leaves, if it does.
func (w *Worker) leaves() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.leaving {
		return ""
	}
	return w.names.Leaving + ": 1\r\n"
}

// Leave makes the worker say in all its answers that it leaves.
func (w *Worker) Leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

func framed(body string) string {
	return "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func (w *Worker) plain(conn *answerConn, id string, fault WorkerFault) bool {
	other := w.head(http.StatusOK, "another-request") + framed("an answer to another request")
	right := w.head(http.StatusOK, id) + framed(WorkerBody)
	switch fault {
	case CutHead:
		return false
	case CutBody:
		return write(conn, w.head(http.StatusOK, id)+"Content-Length: 900\r\n\r\n"+WorkerBody) && false
	case ResetUnframed:
		write(conn, w.head(http.StatusOK, id)+"\r\nhalf")
		// What was sent arrives first, as a worker that resets midway would.
		time.Sleep(resetPause)
		if tcp, ok := conn.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return false
	case Unframed:
		return write(conn, w.head(http.StatusOK, id)+"\r\n"+WorkerBody) && false
	case Extra:
		return write(conn, right+other)
	case LateFirst:
		return write(conn, other+right)
	case WrongID:
		return write(conn, other)
	case Failing:
		return write(conn, w.head(http.StatusInternalServerError, id)+framed("failed"))
	case Unsigned, UnsignedTwice:
		return conn.answer("HTTP/1.1 200 OK\r\n"+w.names.RequestID+": "+id+"\r\n"+framed(WorkerBody), fault)
	case Hang:
		<-w.stop
		return false
	default:
	}
	return write(conn, right)
}

// resetPause lets the bytes before a reset arrive.
const resetPause = 20 * time.Millisecond

// WorkerEvent is one event of a stream.
func WorkerEvent(n int) string { return fmt.Sprintf("id: %d\ndata: event %d\n\n", n, n) }

func (w *Worker) stream(conn net.Conn, req *http.Request, id string, fault WorkerFault) bool {
	first, _ := strconv.Atoi(req.Header.Get(w.names.LastEvent))
	if slices.Contains([]WorkerFault{UnframedStream, UnframedCut, SlowUnframedStream}, fault) {
		w.unframedStream(conn, id, first, fault)
		return false
	}
	if !write(conn, w.head(http.StatusOK, id)+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n") {
		return false
	}
	for n := first + 1; n <= WorkerEvents; n++ {
		event := WorkerEvent(n)
		if fault == SlowStream {
			time.Sleep(SlowStreamPause)
		}
		if (fault == CutEvent || fault == CutOnce && first == 0) && n == first+cutEvent {
			write(conn, chunk(event[:len(event)/2]))
			return false
		}
		if !write(conn, chunk(event)) {
			return false
		}
	}
	return write(conn, "0\r\n\r\n")
}

// unframedStream sends a stream that ends with its connection.
func (w *Worker) unframedStream(conn net.Conn, id string, first int, fault WorkerFault) {
	write(conn, w.head(http.StatusOK, id)+"Content-Type: text/event-stream\r\n\r\n")
	for n := first + 1; n <= WorkerEvents; n++ {
		event := WorkerEvent(n)
		if fault == UnframedCut && first == 0 && n == cutEvent {
			write(conn, event[:len(event)/2])
			return
		}
		if fault == SlowUnframedStream {
			time.Sleep(SlowStreamPause)
		}
		if !write(conn, event) {
			return
		}
	}
}

// cutEvent is the event within which a stream ends that is cut.
const cutEvent = 3

func chunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

func write(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}
