// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package crashes

import (
	"slices"
	"time"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/table"
)

// AnyPart is the Content under which hosts report answers to requests with any shared part.
var AnyPart = ContentOfPart("", "")

// PartProbes are the requests with refused parts that one host has sent to find out whether the part still
// crashes workers. It is immutable; the zero value is empty.
type PartProbes struct {
	sentAt table.Table[Content, time.Time]
}

// With records that a request with a refused part was sent, and drops old probes.
func (p PartProbes) With(part Content, now time.Time) PartProbes {
	for content, at := range p.sentAt.All() {
		if now.Sub(at) > partProbeResult {
			p.sentAt = p.sentAt.Without(content)
		}
	}
	p.sentAt = p.sentAt.With(part, now)
	return p
}

// RefusesPart reports whether a host, one of a number of hosts, refuses requests for one of their parts, and
// until when.
func (l List) RefusesPart(part Content, parts []Content, probes PartProbes, host ident.Host, hosts int, now time.Time) (until time.Time, refused bool) {
	e, ok := l.byContent.Get(part)
	if !ok || e.Crashes < CrashesToRefuse || slices.ContainsFunc(e.Beside, func(c Content) bool { return !slices.Contains(parts, c) }) {
		return time.Time{}, false
	}
	until = e.At.Add(e.probeAfter() + probeOffset(part, host, hosts))
	if sentAt, ok := probes.sentAt.Get(part); ok && !sentAt.Before(until) {
		until = sentAt.Add(partProbeResult)
	}
	return until, now.Before(until)
}

// probeAfter returns how long after the last crash a refused part is probed.
func (e Entry) probeAfter() time.Duration {
	if e.Crashes == CrashesToRefuse {
		return firstPartProbeAfter
	}
	return partProbeAfter
}

// probeOffset spreads the probes of hosts over time.
func probeOffset(part Content, host ident.Host, hosts int) time.Duration {
	spread := max(minPartProbeSpread, time.Duration(hosts)*partProbeSpacing)
	const steps = 1 << 20
	draw := hash.Mix(hash.Of(string(part)), hash.Of(string(host))) % steps
	return time.Duration(float64(spread) * float64(draw) / steps)
}
