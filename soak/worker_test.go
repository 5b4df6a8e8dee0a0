//go:build soak

// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/platform"
)

// run is one run of a request at a worker.
type run struct {
	worker  string
	at      time.Time
	account string
	// whole is set where the whole answer was written.
	whole bool
}

// runs are what all workers did, by request id.
type runs struct {
	mu   sync.Mutex
	byID map[string][]*run
}

func (r *runs) begin(id string, one *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id] = append(r.byID[id], one)
}

func (r *runs) end(one *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	one.whole = true
}

// of returns copies of the runs of a request.
func (r *runs) of(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]run, 0, len(r.byID[id]))
	for _, one := range r.byID[id] {
		out = append(out, *one)
	}
	return out
}

// soakWorker is a back end that takes a little time for each request.
type soakWorker struct {
	id      string
	node    node
	address string
	runs    *runs
	mu      sync.Mutex
	random  *rand.Rand
	// faulty is the part of requests that go wrong at the worker.
	faulty float64
	seq    int
	state  string
}

const (
	streamEvents = 6
	workTime     = 20 * time.Millisecond
	eventPause   = 15 * time.Millisecond
	workerSlots  = 16
)

func startWorker(t *testing.T, r *runs, n node, listen, advertised string, seed uint64) *soakWorker {
	l, err := net.Listen("tcp", listen)
	require.NoError(t, err)
	w := &soakWorker{
		id: fmt.Sprintf("i-%02d-%d", n, seed), node: n, address: advertised, runs: r,
		random: rand.New(rand.NewPCG(seed, uint64(n))), state: "ready",
	}
	server := &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return w
}

func (w *soakWorker) setFaulty(part float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faulty = part
}

// draw tells what goes wrong with a request: nothing, or one of the faults.
func (w *soakWorker) draw() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.random.Float64() >= w.faulty {
		return faultNone
	}
	return 1 + w.random.IntN(faultKinds)
}

// Faults of a worker.
const (
	faultNone = iota
	faultFull
	faultFails
	faultCutsBefore
	faultCutsWithin
	faultKinds = faultCutsWithin
)

// expectedAnswer is the whole answer to a plain request.
func expectedAnswer(id, body string) string { return "answer to " + id + " about " + body }

// expectedEvent is one event of the answer to a stream.
func expectedEvent(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: event %d of %s\n\n", n, n, id)
}

// ServeHTTP implements http.Handler.
func (w *soakWorker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	names := platform.Headers()
	if expect := r.Header.Get(names.Expect); expect != w.id {
		out.Header().Set(names.Instance, w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	fault := w.draw()
	if fault == faultFull {
		out.Header().Set(names.NotRun, "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	id := r.Header.Get(names.RequestID)
	one := &run{worker: w.id, at: time.Now(), account: r.Header.Get(names.Account)}
	w.runs.begin(id, one)
	time.Sleep(workTime)
	if fault == faultCutsBefore {
		panic(http.ErrAbortHandler)
	}
	out.Header().Set(names.RequestID, id)
	out.Header().Set(names.Signature, "stamp-of-"+w.id)
	if fault == faultFails {
		out.WriteHeader(http.StatusInternalServerError)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/stream/") || strings.HasPrefix(r.URL.Path, "/once/") {
		w.stream(out, r, id, fault)
	} else {
		text := expectedAnswer(id, string(body))
		out.Header().Set("Content-Length", strconv.Itoa(len(text)))
		if fault == faultCutsWithin {
			_, _ = io.WriteString(out, text[:len(text)/2])
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(out, text)
	}
	w.runs.end(one)
}

func (w *soakWorker) stream(out http.ResponseWriter, r *http.Request, id string, fault int) {
	out.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(r.Header.Get(platform.Headers().LastEvent))
	control := http.NewResponseController(out)
	for n := first + 1; n <= streamEvents; n++ {
		event := expectedEvent(id, n)
		if fault == faultCutsWithin && n == first+2 {
			_, _ = io.WriteString(out, event[:len(event)/2])
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(out, event); err != nil {
			panic(http.ErrAbortHandler)
		}
		_ = control.Flush()
		time.Sleep(eventPause)
	}
}

// heartbeat is the worker's registration; each has a higher sequence.
func (w *soakWorker) heartbeat() (path, body string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	return "/v1/instances/" + w.id, fmt.Sprintf(`{"Service":"pool","Address":%q,"Zone":"z1","Version":"v1","Slots":%d,"State":%q,"ColdLeftMs":0,"Seq":%d}`,
		w.address, workerSlots, w.state, w.seq)
}

func (w *soakWorker) setState(state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = state
}
