// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package peers

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/yardhall/yardhall/common/gate"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
)

const (
	// queueLen bounds the messages that wait for one host. Chosen, not measured.
	queueLen = 4096
	// maxBatch bounds the messages in one call. Chosen, not measured.
	maxBatch = 128
	// maxCalls bounds the calls in progress to one host. Chosen, not measured.
	maxCalls = 8
	// redialPause follows a failed dial, and doubles with each one in a row up to
	// maxRedialPause: a host that is overloaded must not be called all the more. Chosen,
	// not measured.
	redialPause    = 200 * time.Millisecond
	maxRedialPause = 800 * time.Millisecond
	// refusedPause follows a dial that was refused: no process listens yet, so that
	// another dial costs it nothing, and it is likely starting. Chosen, not measured.
	refusedPause = 100 * time.Millisecond
)

// Pool sends messages to other hosts, one connection each.
type Pool struct {
	options Options
	mu      sync.Mutex
	addrs   map[ident.Host]string
	senders map[ident.Host]*sender
	ctx     context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup
	// handshakes are connections that are being opened.
	handshakes *gate.Gate
}

// NewPool returns a pool that knows no hosts yet.
func NewPool(o Options) *Pool {
	registerOnce.Do(registerTypes)
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		options: o.withDefaults(), addrs: map[ident.Host]string{}, senders: map[ident.Host]*sender{},
		ctx: ctx, cancel: cancel, handshakes: gate.New(handshakesAtOnce),
	}
}

// SetAddresses sets where hosts listen.
func (p *Pool) SetAddresses(hosts []config.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range hosts {
		p.addrs[h.ID] = h.Address
	}
}

// Send queues m for a host. It never blocks: a message to an unknown host or
// beyond a full queue is dropped and counted.
func (p *Pool) Send(to ident.Host, m host.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.senders[to]
	if !ok {
		if p.addressOf(to) == "" || p.ctx.Err() != nil {
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

// Close ends all connections and waits for their senders.
func (p *Pool) Close() {
	p.cancel()
	p.done.Wait()
}

func (p *Pool) address(h ident.Host) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addressOf(h)
}

// addressOf returns where h listens. In a seeded fleet a host's name is its
// address. The caller holds mu.
func (p *Pool) addressOf(h ident.Host) string {
	if a := p.addrs[h]; a != "" {
		return a
	}
	if _, err := netip.ParseAddrPort(string(h)); err == nil {
		return string(h)
	}
	return ""
}
