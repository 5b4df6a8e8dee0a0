// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"sync"

	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
)

// logQueue bounds the messages of the replicated log that wait for the core.
const logQueue = 1024

// inbox holds the events that wait for the core, in three classes (host.Precedence).
type inbox struct {
	log    chan host.Event
	events chan host.Event
	polls  pollQueue
}

func newInbox() *inbox {
	return &inbox{
		log: make(chan host.Event, logQueue), events: make(chan host.Event, eventQueue),
		polls: pollQueue{waiting: make(chan struct{}, 1)},
	}
}

// put queues an event. It blocks while the queue of its class is full, until done is closed.
func (b *inbox) put(ev host.Event, done <-chan struct{}) {
	queue := b.events
	if m, ok := ev.(host.MessageReceived); ok {
		switch host.PrecedenceOf(m.Message) {
		case host.PrecedenceLog:
			queue = b.log
		case host.PrecedencePoll:
			b.polls.put(m)
			return
		case host.PrecedenceNormal:
		}
	}
	select {
	case queue <- ev:
	case <-done:
	}
}

// len returns the number of waiting events.
func (b *inbox) len() int { return len(b.log) + len(b.events) + b.polls.len() }

// pollQueue holds waiting polls in the order of their arrival. A poll that a later one of its host
// supersedes is dropped, and the later one takes its place in the order.
type pollQueue struct {
	// waiting holds an element if polls wait.
	waiting chan struct{}
	mu      sync.Mutex
	queue   []host.MessageReceived
	// place is where the last poll of each host stands, counted from the first poll ever queued, of
	// which taken have left the queue.
	place   map[ident.Host]int
	taken   int
	dropped int64
}

func (q *pollQueue) put(m host.MessageReceived) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.place == nil {
		q.place = map[ident.Host]int{}
	}
	if at, ok := q.place[m.From]; ok && isSuperseded(q.queue[at-q.taken], m) {
		q.queue[at-q.taken] = m
		q.dropped++
		return
	}
	q.place[m.From] = q.taken + len(q.queue)
	q.queue = append(q.queue, m)
	q.signal()
}

// isSuperseded reports whether a waiting poll can be dropped for a later one.
func isSuperseded(earlier, later host.MessageReceived) bool {
	before, isPoll := earlier.Message.(host.Poll)
	after, alsoPoll := later.Message.(host.Poll)
	return isPoll && alsoPoll && before.IsSuperseded(after)
}

// signal marks that polls wait. The caller holds mu.
func (q *pollQueue) signal() {
	select {
	case q.waiting <- struct{}{}:
	default:
	}
}

// take removes the first poll; ok is false if none waits.
func (q *pollQueue) take() (m host.MessageReceived, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.queue) == 0 {
		return host.MessageReceived{}, false
	}
	m = q.queue[0]
	if q.place[m.From] == q.taken {
		delete(q.place, m.From)
	}
	q.queue = q.queue[1:]
	q.taken++
	if len(q.queue) > 0 {
		q.signal()
	}
	return m, true
}

func (q *pollQueue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.queue)
}

// superseded returns the number of polls dropped for later ones.
func (q *pollQueue) superseded() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.dropped
}
