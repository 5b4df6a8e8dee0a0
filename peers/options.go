// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package peers

import (
	"cmp"
	"context"
	"crypto/subtle"
	"crypto/tls"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/yardhall/yardhall/common/gate"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
)

// Options configure a Server and a Pool.
type Options struct {
	Self  ident.Host
	Fleet string
	// Key is the shared secret of the fleet.
	Key string
	// MaxMessage bounds one received call or reply, in bytes.
	MaxMessage int64
	// From is the local address to dial from; nil lets the system choose.
	From *net.TCPAddr
	// TLS encrypts connections; nil means no encryption.
	TLS *tls.Config
	// Counters count the traffic; nil is replaced by new ones.
	Counters *Counters
	// Incarnation is the incarnation of this process, which increases with each start.
	Incarnation uint64
	// PeerIncarnations holds the incarnations of other hosts. A Server updates it and a Pool
	// uses it, so both need the same one; nil is replaced by a new one.
	PeerIncarnations *IncarnationTracker
	// SkipHandshakeLimit, if not nil, reports whether connections with an address are exempt
	// from the limit of concurrent handshakes, such as those between replicas. Nil exempts all.
	SkipHandshakeLimit func(netip.Addr) bool
	// HandshakeSlotTimeout is how long a handshake counts towards the limit; 0 means
	// defaultHandshakeSlotTimeout.
	HandshakeSlotTimeout time.Duration
	// OnReplace, if not nil, is called when a connection to a host is closed to open another one.
	OnReplace func(to ident.Host, cause ReplaceCause, age time.Duration)
	// OnUnreachable, if not nil, is called when connections to a host begin to fail with err, and
	// when one succeeds after a number of failures, with a nil err.
	OnUnreachable func(to ident.Host, err error, failures int)
	// DialWorker, if not nil, connects to a worker for another host that reaches none; if the error
	// is no failure of the connection itself, the host tries another peer. Nil opens no tunnels.
	DialWorker func(ctx context.Context, id ident.Target, address string) (net.Conn, error)
	// Blocked, if not nil, reports whether messages from and to a host must fail. Tests
	// simulate network partitions with it.
	Blocked func(ident.Host) bool
}

// Counters count the traffic with other hosts.
type Counters struct {
	BytesIn   atomic.Int64
	BytesOut  atomic.Int64
	Sent      atomic.Int64
	Received  atomic.Int64
	Dropped   atomic.Int64
	Failed    atomic.Int64
	Refused   atomic.Int64
	Connected atomic.Int64
	// Dialed counts the connections opened to other hosts; Connected is the number of those
	// that are open.
	Dialed atomic.Int64
	// DialsFailed counts the attempts to open one that failed, with the hello, and HellosTimedOut
	// those of them that had no reply to the hello.
	DialsFailed    atomic.Int64
	HellosTimedOut atomic.Int64
	// ReplacedUnanswered counts the connections closed because calls were unanswered,
	// ReplacedClosed those that the other end closed, and ReplacedRestarted those to an earlier
	// incarnation.
	ReplacedUnanswered atomic.Int64
	ReplacedClosed     atomic.Int64
	ReplacedRestarted  atomic.Int64
	// Accepted counts the connections that hosts opened to this one and AcceptedFirst those of them
	// that were exempt from the limit of concurrent handshakes, such as other replicas'.
	Accepted      atomic.Int64
	AcceptedFirst atomic.Int64
	// Unused counts the accepted connections that ended before they had brought a message.
	Unused atomic.Int64
	// Shed counts the connections closed because they had waited too long for their handshake.
	Shed atomic.Int64
	// TunnelsOpened and TunnelsRefused count the tunnels that other hosts asked for.
	TunnelsOpened  atomic.Int64
	TunnelsRefused atomic.Int64
	// Polls and PollReplies count the received messages of these kinds.
	Polls       atomic.Int64
	PollReplies atomic.Int64
}

// replaced returns the counter of connections that were replaced for a cause.
func (c *Counters) replaced(cause ReplaceCause) *atomic.Int64 {
	switch cause {
	case ReplaceClosed:
		return &c.ReplacedClosed
	case ReplaceRestarted:
		return &c.ReplacedRestarted
	case ReplaceUnanswered:
	}
	return &c.ReplacedUnanswered
}

// countReceived counts a received message.
func (c *Counters) countReceived(m host.Message) {
	c.Received.Add(1)
	switch m.(type) {
	case host.Poll:
		c.Polls.Add(1)
	case host.PollReply:
		c.PollReplies.Add(1)
	}
}

// isKey reports in constant time whether key is the fleet's.
func (o Options) isKey(key string) bool {
	return subtle.ConstantTimeCompare([]byte(key), []byte(o.Key)) == 1
}

func (o Options) withDefaults() Options {
	if o.Counters == nil {
		o.Counters = &Counters{}
	}
	o.HandshakeSlotTimeout = cmp.Or(o.HandshakeSlotTimeout, defaultHandshakeSlotTimeout)
	if o.PeerIncarnations == nil {
		o.PeerIncarnations = &IncarnationTracker{}
	}
	return o
}

// acquireHandshakeSlot waits for a handshake slot until done is closed; ok is false if it was. For
// exempt addresses it returns a nil slot at once.
func (o Options) acquireHandshakeSlot(g *gate.Gate, ip netip.Addr, done <-chan struct{}) (slot *gate.Pass, ok bool) {
	if o.isExempt(ip) {
		return nil, true
	}
	slot, ok = g.Enter(done)
	slot.EndAfter(o.HandshakeSlotTimeout)
	return slot, ok
}

// isExempt reports whether connections with an address are exempt from limits.
func (o Options) isExempt(ip netip.Addr) bool {
	return o.SkipHandshakeLimit == nil || o.SkipHandshakeLimit(ip)
}
