// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"sync"
	"time"

	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
)

// departureWaits holds the answers to workers that leave, until another replica holds their report. The zero
// value holds none.
type departureWaits struct {
	mu      sync.Mutex
	waiting map[ident.Target][]chan struct{}
}

// add returns a channel that is closed once another replica holds a worker's report.
func (d *departureWaits) add(id ident.Target) chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.waiting == nil {
		d.waiting = map[ident.Target][]chan struct{}{}
	}
	ch := make(chan struct{})
	d.waiting[id] = append(d.waiting[id], ch)
	return ch
}

// end answers the workers that wait under an id.
func (d *departureWaits) end(id ident.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, ch := range d.waiting[id] {
		close(ch)
	}
	delete(d.waiting, id)
}

// awaitShared waits until another replica holds a worker's report that it leaves, at most for
// host.MaxShareTime: without a leader the report is acknowledged all the same, as hosts are sent it. It does
// not wait while the processor is short, as few connections are at work at a time then and other workers
// would wait with it.
func (l *loop) awaitShared(id ident.Target) {
	if l.pace.short() {
		return
	}
	shared := l.departures.add(id)
	defer l.departures.end(id)
	if !l.state.Load().IsUnshared(id, l.now()) {
		return
	}
	timer := time.NewTimer(host.MaxShareTime)
	defer timer.Stop()
	select {
	case <-shared:
	case <-timer.C:
	case <-l.done:
	}
}

// workerOf returns the worker of a heartbeat or deregistration.
func workerOf(ev host.Event) ident.Target {
	switch ev := ev.(type) {
	case host.HeartbeatReceived:
		return ev.Worker.ID
	case host.DeregistrationReceived:
		return ev.Worker
	}
	return ""
}
