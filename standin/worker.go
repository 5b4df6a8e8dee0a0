// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// WorkerHeaders names the headers that a registered worker reads and writes.
type WorkerHeaders struct {
	RequestID string
	Expect    string
	Instance  string
	NotRun    string
	Leaving   string
	Signature string
	Load      string
	LastEvent string
}

// WorkerFault is what a worker does wrong with one request.
type WorkerFault uint8

// Faults of a worker.
const (
	// Sound answers as it should.
	Sound WorkerFault = iota
	// Full declines without running the request, FullForAWhile asks besides for a backoff of
	// WorkerBackoff.
	Full
	FullForAWhile
	// CutHead runs the request and closes without an answer.
	CutHead
	// CutBody runs it and closes within the body.
	CutBody
	// ResetUnframed begins an answer without length and resets.
	ResetUnframed
	// Unframed ends a whole answer by closing.
	Unframed
	// Extra sends an answer to another request after the right one.
	Extra
	// LateFirst sends an answer to another request before the right one.
	LateFirst
	// WrongID answers under another id only.
	WrongID
	// Failing answers 500.
	Failing
	// Unsigned answers without signature.
	Unsigned
	// Hang runs the request and says nothing.
	Hang
	// CutEvent ends a stream within its third event.
	CutEvent
)

// WorkerRun is one request that a worker ran.
type WorkerRun struct {
	ID     string
	Method string
	Path   string
	Body   string
	Header http.Header
}

// Worker is a registered worker of the route table: it answers plain requests
// with WorkerBody and requests below /stream/ with WorkerEvents events.
type Worker struct {
	// ID is the instance that requests must name.
	ID       string
	names    WorkerHeaders
	listener net.Listener
	mu       sync.Mutex
	faults   []WorkerFault
	runs     []WorkerRun
	conns    map[net.Conn]bool
	opened   int
	asked    int
	leaving  bool
	stop     chan struct{}
}

// WorkerBody is the body of a plain answer.
const WorkerBody = "the worker's whole answer"

// WorkerBackoff is what a worker asks for with FullForAWhile.
const WorkerBackoff = 1500 * time.Millisecond

// WorkerEvents is the number of events in a stream.
const WorkerEvents = 5

// StartWorker serves on address.
func StartWorker(address, id string, names WorkerHeaders) (*Worker, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	w := &Worker{ID: id, names: names, listener: l, conns: map[net.Conn]bool{}, stop: make(chan struct{})}
	go w.accept()
	return w, nil
}

// Address is where the worker listens.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// Next queues faults for the next requests, one each.
func (w *Worker) Next(faults ...WorkerFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, faults...)
}

// Runs returns the requests run so far.
func (w *Worker) Runs() []WorkerRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]WorkerRun(nil), w.runs...)
}

// Asked counts the requests received so far, whether or not they ran.
func (w *Worker) Asked() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.asked
}

// Opened counts the connections taken so far.
func (w *Worker) Opened() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.opened
}

// Stop closes the port and all connections.
func (w *Worker) Stop() {
	close(w.stop)
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		_ = c.Close()
	}
}

func (w *Worker) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[conn] = true
		w.opened++
		w.mu.Unlock()
		go w.serve(conn)
	}
}

func (w *Worker) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		w.mu.Lock()
		delete(w.conns, conn)
		w.mu.Unlock()
	}()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !w.answer(conn, req, string(body)) {
			return
		}
	}
}

func (w *Worker) take() WorkerFault {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asked++
	if len(w.faults) == 0 {
		return Sound
	}
	f := w.faults[0]
	w.faults = w.faults[1:]
	return f
}

// answer serves one request and tells whether the connection goes on.
func (w *Worker) answer(conn net.Conn, req *http.Request, body string) bool {
	id := req.Header.Get(w.names.RequestID)
	if expect := req.Header.Get(w.names.Expect); expect != "" && expect != w.ID {
		return write(conn, "HTTP/1.1 421 Misdirected Request\r\n"+w.names.Instance+": "+w.ID+"\r\nContent-Length: 0\r\n\r\n")
	}
	fault := w.take()
	if fault == Full {
		return write(conn, w.declined(""))
	}
	if fault == FullForAWhile {
		return write(conn, w.declined(fmt.Sprintf("Retry-After: %g\r\n", WorkerBackoff.Seconds())))
	}
	w.mu.Lock()
	w.runs = append(w.runs, WorkerRun{ID: id, Method: req.Method, Path: req.RequestURI, Body: body, Header: req.Header})
	w.mu.Unlock()
	if strings.Contains(req.URL.Path, "/stream/") && (fault == Sound || fault == CutEvent) {
		return w.stream(conn, req, id, fault)
	}
	return w.plain(conn, id, fault)
}

func (w *Worker) head(status int, id string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: stamp-of-%s\r\n%s: 1,0,8\r\n%s",
		status, http.StatusText(status), w.names.RequestID, id, w.names.Signature, w.ID, w.names.Load, w.leaves())
}

// declined is the answer to a request that the worker does not run.
func (w *Worker) declined(more string) string {
	return "HTTP/1.1 503 Service Unavailable\r\n" + w.names.NotRun + ": 1\r\n" + more + w.leaves() + "Content-Length: 0\r\n\r\n"
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

func (w *Worker) plain(conn net.Conn, id string, fault WorkerFault) bool {
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
		if tcp, ok := conn.(*net.TCPConn); ok {
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
	case Unsigned:
		return write(conn, "HTTP/1.1 200 OK\r\n"+w.names.RequestID+": "+id+"\r\n"+framed(WorkerBody))
	case Hang:
		<-w.stop
		return false
	case Sound, Full, FullForAWhile, CutEvent:
	}
	return write(conn, right)
}

// resetPause lets the bytes before a reset arrive.
const resetPause = 20 * time.Millisecond

// WorkerEvent is one event of a stream.
func WorkerEvent(n int) string { return fmt.Sprintf("id: %d\ndata: event %d\n\n", n, n) }

func (w *Worker) stream(conn net.Conn, req *http.Request, id string, fault WorkerFault) bool {
	first, _ := strconv.Atoi(req.Header.Get(w.names.LastEvent))
	if !write(conn, w.head(http.StatusOK, id)+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n") {
		return false
	}
	for n := first + 1; n <= WorkerEvents; n++ {
		event := WorkerEvent(n)
		if fault == CutEvent && n == first+3 {
			write(conn, chunk(event[:len(event)/2]))
			return false
		}
		if !write(conn, chunk(event)) {
			return false
		}
	}
	return write(conn, "0\r\n\r\n")
}

func chunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

func write(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}
