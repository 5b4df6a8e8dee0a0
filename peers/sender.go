// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package peers

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/netip"
	"net/rpc"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/yardhall/yardhall/common/sockets"
	"github.com/yardhall/yardhall/core/dialing"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
)

// sender owns the connection to one host. Only the goroutine that executes run accesses its
// fields; other goroutines send to queue.
type sender struct {
	pool   *Pool
	to     ident.Host
	queue  chan host.Message
	client *rpc.Client
	conn   *countedConn
	// incarnation is the incarnation of the process at the other end; 0 if unknown.
	incarnation uint64
	addr        string
	openedAt    time.Time
	// dialFailures counts the dials that have failed since the last successful one.
	dialFailures  int
	calls         chan *rpc.Call
	callsInFlight int
	// backoff is the delay between failed dials.
	backoff dialing.Backoff
	// lastProgress is when the oldest call in flight was made or the last one returned,
	// whichever is later.
	lastProgress time.Time
	// replyTime estimates how long the host takes to reply.
	replyTime dialing.ReplyTime
}

// dialFailed counts a failed dial and reports the first of a series.
func (s *sender) dialFailed(err error) {
	s.dialFailures++
	if f := s.pool.options.OnUnreachable; f != nil && s.dialFailures == 1 {
		f(s.to, err, s.dialFailures)
	}
}

// dialSucceeded ends a series of failed dials.
func (s *sender) dialSucceeded() {
	if f := s.pool.options.OnUnreachable; f != nil && s.dialFailures > 0 {
		f(s.to, nil, s.dialFailures)
	}
	s.dialFailures = 0
}

func (s *sender) run() {
	defer s.pool.done.Done()
	defer s.disconnect()
	s.calls = make(chan *rpc.Call, maxCalls)
	for {
		select {
		case <-s.pool.ctx.Done():
			return
		case call := <-s.calls:
			s.handleReply(call)
		case m := <-s.queue:
			s.sendBatch(m)
		}
	}
}

// sendBatch sends m and up to maxBatch-1 queued messages in one call. It connects first if necessary and
// blocks while maxCalls are in flight. Messages that cannot be sent are dropped and counted.
func (s *sender) sendBatch(m host.Message) {
	batch := Batch{Messages: []host.Message{m}}
	for len(batch.Messages) < maxBatch && len(s.queue) > 0 {
		batch.Messages = append(batch.Messages, <-s.queue)
	}
	s.closeIfSilent()
	if err := s.connect(); err != nil {
		s.pool.options.Counters.Failed.Add(1)
		s.pool.options.Counters.DialsFailed.Add(1)
		s.dialFailed(err)
		s.pool.options.Counters.Dropped.Add(int64(len(batch.Messages)))
		s.discardQueue(s.nextRedialDelay(err))
		return
	}
	if s.callsInFlight == maxCalls && !s.awaitCall() {
		s.pool.options.Counters.Dropped.Add(int64(len(batch.Messages)))
		s.disconnect()
		return
	}
	if s.callsInFlight == 0 {
		s.lastProgress = time.Now()
	}
	s.callsInFlight++
	s.pool.options.Counters.Sent.Add(int64(len(batch.Messages)))
	s.client.Go(serviceName+".D", batch, &Ack{sentAt: time.Now()}, s.calls)
}

// closeIfSilent closes the connection if calls have been unanswered for longer than the host's reply
// times explain. It may have lost power and restarted, in which case it does not know this connection.
func (s *sender) closeIfSilent() {
	for len(s.calls) > 0 {
		s.handleReply(<-s.calls)
	}
	if s.client != nil && s.callsInFlight > 0 && time.Since(s.lastProgress) > s.replyTime.Timeout() {
		s.replyTime = s.replyTime.WithTimeout()
		s.pool.options.Counters.Failed.Add(1)
		s.replace(ReplaceUnanswered)
	}
}

// nextRedialDelay returns the delay after a dial that failed with err and advances the backoff.
func (s *sender) nextRedialDelay(err error) (d time.Duration) {
	s.backoff, d = s.backoff.After(failureOf(err), rand.Uint64()) //nolint:gosec // Jitter need not be secret.
	return d
}

// helloError is a failure after the connection was established.
type helloError struct{ cause error }

// Error implements error.
func (e helloError) Error() string { return "hello: " + e.cause.Error() }

// Unwrap returns the cause.
func (e helloError) Unwrap() error { return e.cause }

// failureOf returns what a failed dial shows of the host.
func failureOf(err error) dialing.Failure {
	var hello helloError
	switch {
	case errors.As(err, &hello):
		return dialing.Overloaded
	case errors.Is(err, unix.ECONNREFUSED):
		return dialing.Refused
	}
	return dialing.Unreachable
}

// discardQueue drops messages for d after a failed dial, as they would be stale once the host is
// reachable.
func (s *sender) discardQueue(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-s.pool.ctx.Done():
			return
		case <-s.queue:
			s.pool.options.Counters.Dropped.Add(1)
		case <-timer.C:
			return
		}
	}
}

// awaitCall waits for one call to return, at most callTimeout. It reports whether the connection
// is still usable.
func (s *sender) awaitCall() bool {
	timer := time.NewTimer(callTimeout)
	defer timer.Stop()
	select {
	case call := <-s.calls:
		s.handleReply(call)
		return s.client != nil
	case <-timer.C:
		return false
	case <-s.pool.ctx.Done():
		return false
	}
}

func (s *sender) handleReply(call *rpc.Call) {
	s.callsInFlight = max(0, s.callsInFlight-1)
	s.lastProgress = time.Now()
	if ack, ok := call.Reply.(*Ack); ok && call.Error == nil && !ack.sentAt.IsZero() {
		s.replyTime = s.replyTime.With(s.lastProgress.Sub(ack.sentAt))
	}
	if call.Error != nil && s.client != nil {
		s.pool.options.Counters.Failed.Add(1)
		s.disconnect()
	}
}

// connect opens a connection and sends the hello, unless there is a usable connection to the
// host's current address.
func (s *sender) connect() error {
	addr := s.pool.address(s.to)
	if blocked := s.pool.options.Blocked; blocked != nil && blocked(s.to) {
		s.disconnect()
		return errors.New("unreachable")
	}
	if s.client != nil && s.addr == addr {
		cause, isDead := s.deathCause()
		if !isDead {
			return nil
		}
		s.replace(cause)
	}
	s.disconnect()
	o := s.pool.options
	slot, ok := o.acquireHandshakeSlot(s.pool.handshakes, parseIP(addr), s.pool.ctx.Done())
	if !ok {
		return errors.New("pool closed")
	}
	defer slot.Leave()
	conn, err := s.dial(addr)
	if err != nil {
		return err
	}
	counted := &countedConn{Conn: conn, counters: o.Counters}
	client := rpc.NewClientWithCodec(newGobCodec(counted, o.MaxMessage))
	var ack Ack
	hello := client.Go(serviceName+".Hello", Hello{From: o.Self, Fleet: o.Fleet, Key: o.Key, Boot: o.Incarnation}, &ack, make(chan *rpc.Call, 1))
	select {
	case <-hello.Done:
		err = hello.Error
	case <-time.After(dialing.HelloTimeout):
		err = errors.New("no reply")
		o.Counters.HellosTimedOut.Add(1)
	}
	if err != nil {
		_ = client.Close()
		return helloError{cause: err}
	}
	s.client, s.conn, s.incarnation, s.addr, s.callsInFlight, s.backoff = client, counted, ack.Boot, addr, 0, dialing.Backoff{}
	s.calls, s.openedAt = make(chan *rpc.Call, maxCalls), time.Now()
	s.dialSucceeded()
	o.Counters.Connected.Add(1)
	o.Counters.Dialed.Add(1)
	o.PeerIncarnations.set(s.to, ack.Boot)
	return nil
}

func (s *sender) dial(addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(s.pool.ctx, dialTimeout)
	defer cancel()
	return dialPeer(ctx, s.pool.options, addr, dialing.MinReplyTimeout)
}

// dialPeer connects to another host. Data that stays unacknowledged for userTimeout closes the
// connection.
func dialPeer(ctx context.Context, o Options, addr string, userTimeout time.Duration) (net.Conn, error) {
	d := &net.Dialer{Control: sockets.Control(userTimeout), KeepAliveConfig: sockets.KeepAlive()}
	if o.From != nil {
		d.LocalAddr = o.From
	}
	if o.TLS == nil {
		conn, err := d.DialContext(ctx, "tcp", addr)
		return conn, errors.Wrap(err, "dial")
	}
	conn, err := (&tls.Dialer{NetDialer: d, Config: o.TLS}).DialContext(ctx, "tcp", addr)
	return conn, errors.Wrap(err, "dial")
}

// parseIP returns the address of an ip:port, or the zero address if addr is not one.
func parseIP(addr string) netip.Addr {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return netip.Addr{}
	}
	return a.Addr().Unmap()
}

func (s *sender) disconnect() {
	if s.client == nil {
		return
	}
	_ = s.client.Close()
	s.client = nil
	s.pool.options.Counters.Connected.Add(-1)
}
