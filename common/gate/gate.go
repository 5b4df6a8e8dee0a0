// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package gate lets a few at a time do work that shares one processor. What waits
// costs no processor time, so that other work in the same process is not held up by
// how many there are.
//
// # Usage
//
//	g := gate.New(4)
//	pass, ok := g.Enter(ctx.Done())
//	if !ok { return }
//	defer pass.Leave()
//	pass.EndAfter(patience)
package gate

import (
	"sync"
	"time"
)

// Gate is a number of passes, which may change. Who waits is let in in the order in
// which they came. The zero value lets nobody in.
type Gate struct {
	mu      sync.Mutex
	limit   int
	inside  int
	waiting []chan struct{}
}

// New returns a gate for a number of passes.
func New(limit int) *Gate { return &Gate{limit: limit} }

// SetLimit changes how many passes there are. Those that are out stay valid.
func (g *Gate) SetLimit(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = n
	g.admit()
}

// Limit is how many passes there are.
func (g *Gate) Limit() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limit
}

// admit lets in whoever may be. The caller holds mu.
func (g *Gate) admit() {
	for g.inside < g.limit && len(g.waiting) > 0 {
		close(g.waiting[0])
		g.waiting = g.waiting[1:]
		g.inside++
	}
}

// Enter waits for a pass, until done is closed.
func (g *Gate) Enter(done <-chan struct{}) (pass *Pass, ok bool) {
	turn := make(chan struct{})
	g.mu.Lock()
	g.waiting = append(g.waiting, turn)
	g.admit()
	g.mu.Unlock()
	select {
	case <-turn:
	case <-done:
		if g.withdraw(turn) {
			return nil, false
		}
	}
	return &Pass{gate: g}, true
}

// withdraw takes back a wait, unless it has just ended.
func (g *Gate) withdraw(turn chan struct{}) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, w := range g.waiting {
		if w == turn {
			g.waiting = append(g.waiting[:i:i], g.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Pass is the right to work. A nil one is the pass of who needs none.
type Pass struct {
	gate  *Gate
	timer *time.Timer
	once  sync.Once
}

// EndAfter has the pass end by itself after a time in which it was not left: one that
// does nothing must not keep others out. It is called once, before Leave.
func (p *Pass) EndAfter(d time.Duration) {
	if p != nil {
		p.timer = time.AfterFunc(d, p.end)
	}
}

// Leave gives the pass back; it may be called more than once.
func (p *Pass) Leave() {
	if p == nil {
		return
	}
	if p.timer != nil {
		p.timer.Stop()
	}
	p.end()
}

func (p *Pass) end() {
	p.once.Do(func() {
		p.gate.mu.Lock()
		defer p.gate.mu.Unlock()
		p.gate.inside--
		p.gate.admit()
	})
}
