package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// promises are the statuses that promise that a request has not run and never will.
var promises = map[int]bool{408: true, 421: true, 429: true, 503: true}

// load sends requests to the entry hosts until it is stopped, each on a connection of its own.
type load struct {
	f    *fleet
	stop atomic.Bool
	wg   sync.WaitGroup
	mu   sync.Mutex
	// sent holds when each request was sent and to which entry host.
	sent map[string]sending
	ok   atomic.Int64
	bad  atomic.Int64
}

type sending struct {
	at   time.Time
	edge *machine
}

func (f *fleet) startLoad(callers int) *load {
	l := &load{f: f, sent: map[string]sending{}}
	for i := range callers {
		m := f.edges[i%len(f.edges)]
		l.wg.Go(func() {
			c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			for !l.stop.Load() {
				id := newID()
				l.mu.Lock()
				l.sent[id] = sending{at: time.Now(), edge: m}
				l.mu.Unlock()
				status, _, err := f.call(c, m, "POST", "/confirm/1", id, 2*time.Second, []byte("x"))
				if err == nil && status == 200 {
					l.ok.Add(1)
				} else {
					l.bad.Add(1)
				}
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	return l
}

func (l *load) end() {
	l.stop.Store(true)
	l.wg.Wait()
}

// ranAt reports whether a worker has begun a request.
func ranAt(workers []*worker, id string) bool {
	for _, w := range workers {
		w.mu.Lock()
		_, ran := w.ran[id]
		w.mu.Unlock()
		if ran {
			return true
		}
	}
	return false
}

// say writes a line of the result to the record and to standard output.
func (p *play) say(format string, args ...any) {
	p.rec.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// begin starts a fleet with three workers and puts the first configuration in force.
func (p *play) begin(cores, edges int) (*fleet, []*worker, int) {
	f, err := newFleet(p.root, p.rec, cores, edges)
	if err != nil {
		return nil, nil, p.fail("fleet", err)
	}
	fail := func(what string, err error) (*fleet, []*worker, int) {
		f.stop()
		return nil, nil, p.fail(what, err)
	}
	if err := f.startAll(); err != nil {
		return fail("start", err)
	}
	var workers []*worker
	for i := range 3 {
		w, err := f.newWorker(fmt.Sprintf("i-%d", i+1), "floor", "hall-a", 6, 15*time.Millisecond, f.cores[0].ip)
		if err != nil {
			return fail("worker", err)
		}
		w.register()
		workers = append(workers, w)
	}
	if at, _ := f.put(document(1), 20*time.Second); at.IsZero() {
		return fail("configuration", nil)
	}
	if !f.awaitReady(20 * time.Second) {
		return fail("entry hosts", nil)
	}
	time.Sleep(4 * time.Second)
	return f, workers, held
}
