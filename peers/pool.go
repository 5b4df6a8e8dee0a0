// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package peers

import (
	"context"
	"net/netip"
	"sync"

	"github.com/yardhall/yardhall/common/gate"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
)

const (
	// queueLen bounds the messages queued for one host.
	queueLen = 4096
	// maxBatch bounds the messages in one call.
	maxBatch = 128
	// maxCalls bounds the calls in flight to one host.
	maxCalls = 8
)

// Pool sends messages to other hosts over one connection each.
type Pool struct {
	options Options
	mu      sync.Mutex
	addrs   map[ident.Host]string
	senders map[ident.Host]*sender
	ctx     context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup
	// handshakes limits the connections that are being opened.
	handshakes *gate.Gate
}

// NewPool returns a pool without addresses.
func NewPool(o Options) *Pool {
	registerOnce.Do(registerTypes)
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		options: o.withDefaults(), addrs: map[ident.Host]string{}, senders: map[ident.Host]*sender{},
		ctx: ctx, cancel: cancel, handshakes: gate.New(maxHandshakes),
	}
}

// SetAddresses sets the addresses of the given hosts and leaves those of others.
func (p *Pool) SetAddresses(hosts []config.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range hosts {
		p.addrs[h.ID] = h.Address
	}
}

// Send queues m for a host. It never blocks: a message to a host without an address or with a
// full queue is dropped and counted.
func (p *Pool) Send(to ident.Host, m host.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.senders[to]
	if !ok {
		if p.addressLocked(to) == "" || p.ctx.Err() != nil {
			p.options.Counters.Dropped.Add(1)
			return
		}
		s = &sender{pool: p, to: to, queue: make(chan host.Message, queueLen)}
		p.senders[to] = s
		p.done.Add(1)
		go s.run()
	}
	select {
	case s.queue <- m:
	default:
		p.options.Counters.Dropped.Add(1)
	}
}

// Close closes all connections and waits for their goroutines.
func (p *Pool) Close() {
	p.cancel()
	p.done.Wait()
}

func (p *Pool) address(h ident.Host) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addressLocked(h)
}

// addressLocked returns the address of h, or "" if it is not known. In a seeded fleet, a host's
// id is its address. The caller holds mu.
func (p *Pool) addressLocked(h ident.Host) string {
	if a := p.addrs[h]; a != "" {
		return a
	}
	if _, err := netip.ParseAddrPort(string(h)); err == nil {
		return string(h)
	}
	return ""
}
