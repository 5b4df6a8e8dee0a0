package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// ledger holds the runs of all requests at all workers.
type ledger struct {
	mu   sync.Mutex
	runs map[string][]string
}

func (l *ledger) add(id, worker string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = map[string][]string{}
	}
	l.runs[id] = append(l.runs[id], worker)
	return len(l.runs[id])
}

func (l *ledger) of(id string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.runs[id]...)
}

// worker is a stand-in for one worker of a service. It works on slots requests at once, queues a few more and
// declines all others.
type worker struct {
	rec     *record
	ledger  *ledger
	fleet   *fleet
	id      string
	service string
	zone    string
	address string
	slots   int
	queue   int
	// work draws how long a plain request takes.
	work func() time.Duration
	// events is the number of events of a stream, pause the time between two of them.
	events int
	pause  time.Duration
	// surplus is the part of the answers that are sent again, late: where the next answer on the connection is due.
	surplus func() float64

	mu      sync.Mutex
	running int
	waiting int
	free    *sync.Cond
	cut     map[string]bool
	conns   map[net.Conn]string
	// count is what it did.
	ran, declined, surpluses int
	stopped                  chan struct{}
}

func (w *worker) start() error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.free = sync.NewCond(&w.mu)
	w.cut, w.conns, w.stopped = map[string]bool{}, map[net.Conn]string{}, make(chan struct{})
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(conn)
		}
	}()
	go w.beat()
	return nil
}

// beat sends heartbeats to the machines that serve control.
func (w *worker) beat() {
	for seq := 1; ; seq++ {
		body, _ := json.Marshal(map[string]any{
			"Service": w.service, "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": w.slots, "State": "ready", "ColdLeftMs": 0, "Seq": seq,
		})
		for _, i := range rand.Perm(len(w.fleet.cores)) {
			status, err := call(http.MethodPut, "http://"+w.fleet.cores[i].at(controlPort)+names.InstancePath+w.id, body)
			if err == nil && status/100 == 2 {
				break
			}
		}
		select {
		case <-w.stopped:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// setCut cuts the path between an edge and this worker, or joins it: open connections and new ones are reset.
func (w *worker) setCut(ip string, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[ip] = on
	if !on {
		return
	}
	for c, from := range w.conns {
		if from == ip {
			reset(c)
		}
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// admit adds a connection unless its path is cut.
func (w *worker) admit(c net.Conn) bool {
	from, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut[from] {
		reset(c)
		return false
	}
	w.conns[c] = from
	return true
}

// connection is one connection to the worker; due is a surplus answer that is sent ahead of the next one.
type connection struct {
	net.Conn
	in  *bufio.Reader
	due []byte
}

func (w *worker) serve(conn net.Conn) {
	if !w.admit(conn) {
		return
	}
	c := &connection{Conn: conn, in: bufio.NewReader(conn)}
	defer func() {
		_ = conn.Close()
		w.mu.Lock()
		delete(w.conns, conn)
		w.mu.Unlock()
	}()
	for {
		r, err := http.ReadRequest(c.in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !w.handle(c, r) {
			return
		}
	}
}

// handle answers one request and reports whether the connection may be used again.
func (w *worker) handle(c *connection, r *http.Request) bool {
	id := r.Header.Get(names.RequestID)
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/healthz":
		return w.write(c, "", 200, nil, nil)
	case r.Header.Get(names.ExpectedWorker) != "" && r.Header.Get(names.ExpectedWorker) != w.id:
		return w.write(c, id, 421, map[string]string{names.NotRun: "1"}, nil)
	case id == "":
		return w.write(c, id, 400, map[string]string{names.NotRun: "1"}, nil)
	case !w.take():
		w.rec.say("%s declines %s", w.id, id)
		return w.write(c, id, 503, map[string]string{names.NotRun: "1"}, []byte("full\n"))
	}
	defer w.release()
	n := w.ledger.add(id, w.id)
	w.rec.say("%s runs %s, run %d", w.id, id, n)
	if w.events > 0 {
		return w.stream(c, r, id)
	}
	time.Sleep(w.work())
	return w.write(c, id, 200, nil, []byte("done "+id+"\n"))
}

// take waits for a slot; false if the queue is full.
func (w *worker) take() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running >= w.slots && w.waiting >= w.queue {
		w.declined++
		return false
	}
	w.waiting++
	for w.running >= w.slots {
		w.free.Wait()
	}
	w.waiting--
	w.running++
	w.ran++
	return true
}

func (w *worker) release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
	w.free.Signal()
}

// write writes a whole answer, after the surplus one that is due, and draws whether it is sent again later.
func (w *worker) write(c *connection, id string, status int, extra map[string]string, body []byte) bool {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s: %s\r\n", status, http.StatusText(status), len(body), names.WorkerID, w.id)
	if id != "" {
		fmt.Fprintf(&b, "%s: %s\r\n%s: %s.%s\r\n", names.RequestID, id, names.Signature, w.id, id)
	}
	for name, value := range extra {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	b.WriteString("\r\n")
	b.Write(body)
	out := append(c.due, b.Bytes()...)
	if len(c.due) > 0 {
		w.rec.say("%s sends a surplus answer ahead of the one to %s", w.id, id)
	}
	c.due = nil
	if w.surplus != nil && rand.Float64() < w.surplus() {
		c.due = append([]byte(nil), b.Bytes()...)
		w.mu.Lock()
		w.surpluses++
		w.mu.Unlock()
	}
	_, err := c.Write(out)
	return err == nil
}

// stream writes an answer of events that lacks a length and ends with the connection.
func (w *worker) stream(c *connection, r *http.Request, id string) bool {
	first := 1
	if last, err := strconv.Atoi(r.Header.Get(names.LastEventID)); err == nil {
		first = last + 1
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n%s: %s\r\n%s: %s\r\n%s: %s.%s\r\n\r\n",
		names.WorkerID, w.id, names.RequestID, id, names.Signature, w.id, id)
	for i := first; err == nil && i <= w.events; i++ {
		time.Sleep(w.pause)
		_, err = fmt.Fprintf(c, "id: %d\ndata: piece %d of %d of %s\n\n", i, i, w.events, id)
	}
	if err != nil {
		w.rec.say("%s breaks off %s, its connection has failed", w.id, id)
		return false
	}
	w.rec.say("%s has sent all %d events of %s", w.id, w.events, id)
	return false
}
