// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"

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
	// FullTwice and LimitedTwice (429) decline without running the request, and repeat their answer where
	// the next one on the connection is due. UnidentifiedTwice does so without the request's id.
	FullTwice
	LimitedTwice
	UnidentifiedTwice
	// UnsignedTwice runs the request, and repeats an answer without signature likewise.
	UnsignedTwice
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
	// SlowStream takes SlowStreamPause between the events of a stream.
	SlowStream
	// CutEvent ends a stream within its third event.
	CutEvent
	// CutOnce ends a stream within its third event, unless the request resumes one.
	CutOnce
	// SlowUnframedStream is a SlowStream without length or chunks.
	SlowUnframedStream
	// UnframedStream sends a whole stream without length or chunks, and closes. UnframedCut does the same
	// and ends within the third event, unless the request resumes a stream.
	UnframedStream
	UnframedCut
	// Overloaded answers as a proxy before the worker might: neither an id nor a word on
	// whether the request has run, but a time as with FullForAWhile.
	Overloaded
	// SurplusFull and those below answer soundly, and send a response without a request id where the next
	// answer is due: declines of status 503, 429, 408 and 400, a 421, a decline with an empty id, one
	// after an interim response, one that says that the worker leaves, and a 200 without signature.
	SurplusFull
	SurplusLimited
	SurplusTimeout
	SurplusInvalid
	SurplusMisdirected
	SurplusEmptyID
	SurplusInterim
	SurplusLeaving
	SurplusUnsigned
	// UnidentifiedFull declines without the request's id.
	UnidentifiedFull
	// EndlessStatus and those below send bytes until the caller closes: a status line, a header, headers,
	// interim responses, the head of a decline, the body of an answer to another request, the body of
	// the answer, an event, and the head of a chunk.
	EndlessStatus
	EndlessHeader
	EndlessHeaders
	EndlessInterim
	EndlessDeclineHead
	EndlessForeignBody
	EndlessBody
	EndlessEvent
	EndlessChunkHead
	// EndlessShortHeaders sends headers of a few bytes each without end, ManyShortHeaders as many as fit into a head, and then an
	// event without end.
	EndlessShortHeaders
	ManyShortHeaders
	// DrippingDeclineBody declines with a body that comes slowly and without end, DrippingHead answers by such
	// a head.
	DrippingDeclineBody
	DrippingHead
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
	// endlessBytes counts the bytes of faults that send without end.
	endlessBytes int64
}

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

// Reset drops the faults that are queued.
func (w *Worker) Reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = nil
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
	r, answers := bufio.NewReader(conn), &answerConn{Conn: conn}
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !w.answer(answers, req, string(body)) {
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
