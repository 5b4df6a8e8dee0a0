// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package peers

import (
	"crypto/tls"
	"net"
	"net/netip"
	"net/rpc"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/yardhall/yardhall/common/sockets"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
)

// sender is the connection to one host.
type sender struct {
	pool   *Pool
	to     ident.Host
	queue  chan host.Message
	client *rpc.Client
	conn   *countedConn
	// boot is the start of the process at the other end; 0 where it did not say.
	boot  uint64
	addr  string
	calls chan *rpc.Call
	open  int
	// pause is the wait after the next failed dial.
	pause time.Duration
	// asked is when the oldest open call was made, or the last one answered.
	asked time.Time
}

func (s *sender) run() {
	defer s.pool.done.Done()
	defer s.hangUp()
	s.calls = make(chan *rpc.Call, maxCalls)
	for {
		select {
		case <-s.pool.ctx.Done():
			return
		case call := <-s.calls:
			s.callDone(call)
		case m := <-s.queue:
			s.deliver(m)
		}
	}
}

// deliver sends m together with what else waits.
func (s *sender) deliver(m host.Message) {
	batch := Batch{Messages: []host.Message{m}}
	for len(batch.Messages) < maxBatch && len(s.queue) > 0 {
		batch.Messages = append(batch.Messages, <-s.queue)
	}
	s.leaveSilent()
	if err := s.connect(); err != nil {
		s.pool.options.Counters.Failed.Add(1)
		s.pool.options.Counters.Dropped.Add(int64(len(batch.Messages)))
		s.drop(s.pauseAfter(err))
		return
	}
	if s.open == maxCalls && !s.await() {
		s.pool.options.Counters.Dropped.Add(int64(len(batch.Messages)))
		s.hangUp()
		return
	}
	if s.open == 0 {
		s.asked = time.Now()
	}
	s.open++
	s.pool.options.Counters.Sent.Add(int64(len(batch.Messages)))
	s.client.Go(serviceName+".D", batch, &Ack{}, s.calls)
}

// leaveSilent hangs up on a host that has left calls unanswered: it may be gone
// without a word, and back without knowing this connection.
func (s *sender) leaveSilent() {
	for len(s.calls) > 0 {
		s.callDone(<-s.calls)
	}
	if s.client != nil && s.open > 0 && time.Since(s.asked) > answerTimeout {
		s.pool.options.Counters.Failed.Add(1)
		s.hangUp()
	}
}

// pauseAfter is the time until the next dial after one that failed.
func (s *sender) pauseAfter(err error) time.Duration {
	if errors.Is(err, unix.ECONNREFUSED) {
		return refusedPause
	}
	s.pause = min(max(redialPause, 2*s.pause), maxRedialPause)
	return s.pause
}

// drop empties the queue after a failed dial and pauses: what waited is stale.
func (s *sender) drop(d time.Duration) {
	pause := time.NewTimer(d)
	defer pause.Stop()
	for {
		select {
		case <-s.pool.ctx.Done():
			return
		case <-s.queue:
			s.pool.options.Counters.Dropped.Add(1)
		case <-pause.C:
			return
		}
	}
}

// await waits for one call to end, at most its deadline.
func (s *sender) await() bool {
	timer := time.NewTimer(callTimeout)
	defer timer.Stop()
	select {
	case call := <-s.calls:
		s.callDone(call)
		return s.client != nil
	case <-timer.C:
		return false
	case <-s.pool.ctx.Done():
		return false
	}
}

func (s *sender) callDone(call *rpc.Call) {
	s.open = max(0, s.open-1)
	s.asked = time.Now()
	if call.Error != nil && s.client != nil {
		s.pool.options.Counters.Failed.Add(1)
		s.hangUp()
	}
}

func (s *sender) connect() error {
	addr := s.pool.address(s.to)
	if blocked := s.pool.options.Blocked; blocked != nil && blocked(s.to) {
		s.hangUp()
		return errors.New("unreachable")
	}
	if s.client != nil && s.addr == addr && !s.isOver() {
		return nil
	}
	s.hangUp()
	o := s.pool.options
	pass, ok := o.enter(s.pool.handshakes, ipOf(addr), s.pool.ctx.Done())
	if !ok {
		return errors.New("the pool is closed")
	}
	defer pass.Leave()
	conn, err := s.dial(addr)
	if err != nil {
		return err
	}
	counted := &countedConn{Conn: conn, counters: o.Counters}
	client := rpc.NewClientWithCodec(newGobCodec(counted, o.MaxMessage))
	var ack Ack
	hello := client.Go(serviceName+".Hello", Hello{From: o.Self, Fleet: o.Fleet, Key: o.Key, Boot: o.Boot}, &ack, make(chan *rpc.Call, 1))
	select {
	case <-hello.Done:
		err = hello.Error
	case <-time.After(callTimeout):
		err = errors.New("hello timed out")
	}
	if err != nil {
		_ = client.Close()
		return errors.Wrap(err, "hello")
	}
	s.client, s.conn, s.boot, s.addr, s.open, s.pause = client, counted, ack.Boot, addr, 0, 0
	s.calls = make(chan *rpc.Call, maxCalls)
	o.Counters.Connected.Add(1)
	o.Counters.Dialed.Add(1)
	o.PeerBoots.answered(s.to, ack.Boot)
	return nil
}

// isOver tells whether the other end of the connection has closed it or belongs to a
// process that is gone: what is sent there would be lost.
func (s *sender) isOver() bool {
	return s.conn.ended.Load() || s.pool.options.PeerBoots.isOver(s.to, s.boot)
}

func (s *sender) dial(addr string) (net.Conn, error) {
	d := &net.Dialer{Timeout: dialTimeout, Control: sockets.Control(answerTimeout), KeepAliveConfig: sockets.KeepAlive()}
	if from := s.pool.options.From; from != nil {
		d.LocalAddr = from
	}
	if s.pool.options.TLS == nil {
		conn, err := d.DialContext(s.pool.ctx, "tcp", addr)
		return conn, errors.Wrap(err, "dial")
	}
	conn, err := (&tls.Dialer{NetDialer: d, Config: s.pool.options.TLS}).DialContext(s.pool.ctx, "tcp", addr)
	return conn, errors.Wrap(err, "dial")
}

// ipOf is the address part of an ip:port; the zero address where there is none.
func ipOf(addr string) netip.Addr {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return netip.Addr{}
	}
	return a.Addr().Unmap()
}

func (s *sender) hangUp() {
	if s.client == nil {
		return
	}
	_ = s.client.Close()
	s.client = nil
	s.pool.options.Counters.Connected.Add(-1)
}
