// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"cmp"
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
)

// A host without contact with the workers (contact.go) connects to them through other entry hosts.
// Such a tunnel carries the bytes of one attempt and decides nothing: this host goes on choosing the
// worker, counting its load, charging retries and keeping the deadline. A request can therefore
// neither circle between hosts nor be counted twice, and an attempt whose tunnel was not opened was
// never sent.
//
// Peers of the host's own zone come first, in an order drawn from the request's id. One that cannot
// open tunnels, as it has no contact either, is overloaded, stops, or is of an earlier version, is
// passed over for a while. If no peer is left, requests are refused at once.
//
// Open connections of the host are used as well if new ones are refused, as they may live on; if new
// ones time out, they hang.
//
// Inputs: the contact, the entry hosts that replicas name, and which of them opened no tunnel.
const (
	// maxTunnelPeers bounds the peers that one attempt tries.
	maxTunnelPeers = 3
	// peerRetryTime is how long a peer that opened no tunnel is passed over.
	peerRetryTime = time.Second
)

// Peer is another entry host.
type Peer struct {
	Host ident.Host
	Zone ident.Zone
}

// Path is how an attempt may reach its worker. The zero Path reaches none.
type Path struct {
	// Direct allows new connections of this host, Open those that it has.
	Direct bool
	Open   bool
	// Via are the entry hosts to connect through, in the order in which they are tried.
	Via []ident.Host
}

// WithPeers returns the state with the entry hosts that may open tunnels, without this one.
func (s State) WithPeers(peers []Peer) State {
	s.peers = peers
	return s
}

// HasContact reports whether this host reaches workers directly.
func (s State) HasContact() bool { return !s.contact.lost }

// OpensTunnels reports whether this host connects others to workers.
func (s State) OpensTunnels() bool { return s.HasContact() && !s.closing }

// pathFor returns the path of a call's next attempt; false if there is none.
func (t *transition) pathFor(c call) (Path, bool) {
	if t.HasContact() {
		return Path{Direct: true, Open: true}, true
	}
	p := Path{Open: !t.contact.timedOut, Via: t.tunnelPeers(c)}
	return p, p.Open || len(p.Via) > 0
}

// tunnelPeers returns the peers through which a call is sent.
func (t *transition) tunnelPeers(c call) []ident.Host {
	usable := slices.DeleteFunc(slices.Clone(t.peers), func(p Peer) bool {
		until, _ := t.peerAvoidedUntil.Get(p.Host)
		return t.now.Before(until)
	})
	key := requestKey(c.req.ID)
	score := func(p Peer) uint64 { return hash.Mix(key, hash.Of(string(p.Host))) }
	slices.SortFunc(usable, func(a, b Peer) int {
		if own := a.Zone == t.settings.Zone; own != (b.Zone == t.settings.Zone) {
			if own {
				return -1
			}
			return 1
		}
		return cmp.Compare(score(b), score(a))
	})
	hosts := make([]ident.Host, 0, maxTunnelPeers)
	for _, p := range usable[:min(maxTunnelPeers, len(usable))] {
		hosts = append(hosts, p.Host)
	}
	return hosts
}

// handleTunnelRefused passes over a peer that opened no tunnel.
func (t *transition) handleTunnelRefused(ev TunnelRefused) {
	t.peerAvoidedUntil = t.peerAvoidedUntil.With(ev.Peer, t.now.Add(peerRetryTime))
	t.counters.TunnelsRefused++
}

// afterNoPath follows an attempt that found no path to its worker.
func (t *transition) afterNoPath(c call, r outcome.NeverSent) {
	v := Verdict{Outcome: c.combinedOutcome, Code: CodeNoWorker, Reason: r.Reason}
	if p, _ := t.pathFor(c); (p.Direct || len(p.Via) > 0) && !c.connectFailuresExceeded() {
		c.tried = slices.Clone(c.tried[:len(c.tried)-1])
		t.dispatch(c, v)
		return
	}
	t.finishWithoutPath(c, v)
}

// finishWithoutPath refuses a call, as no host is known that reaches workers. The caller may return
// when this host next looks for one; the most urgent callers return first.
func (t *transition) finishWithoutPath(c call, v Verdict) {
	v.Outcome = c.combinedOutcome
	if v.Outcome == outcome.NotRun {
		next := t.contact.nextProbeAt
		for _, until := range t.peerAvoidedUntil.All() {
			if until.After(t.now) && until.Before(next) {
				next = until
			}
		}
		spread := time.Duration((float64(c.rank) + c.drawFraction()) * float64(returnInterval))
		v.RetryAfter = max(0, next.Sub(t.now)) + probeInterval/2 + spread
	}
	t.finish(c.req.ID, v)
}
