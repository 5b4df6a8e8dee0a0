// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"time"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/origins"
	"github.com/yardhall/yardhall/core/requests"
	"github.com/yardhall/yardhall/core/table"
)

// Package requests needs the origin of a stream that its caller resumes at another host than the one that
// began it. Hosts report the streams that they begin within reportInterval, to outlive a kill right after, to
// each replica or hub that they poll. A message may be lost, so one that has a single receiver is repeated in
// the next poll. Replicas and hubs keep the reports, replicas on their disks as well, and a hub passes them on
// as its own. A host that looks an origin up names the stream in polls until it is found or no longer looked
// for, and the replies give what the receiver knows. A hub looks up in turn what its clients look up and it
// does not know.
//
// Hosts of an earlier version neither report origins nor answer with any; they ignore the fields. Those that
// cannot read StreamsBegun are sent reports in two polls.

const (
	// reportInterval is the least time between two reports of streams apart from polls.
	reportInterval = 100 * time.Millisecond
	// minOriginPollInterval is the time between two polls sent early because of origins, so that streams
	// that break off together are looked up together.
	minOriginPollInterval = 100 * time.Millisecond
	// originLookupTime is how long an origin is looked up: a little longer than requests wait for it.
	originLookupTime = time.Second
	// unprovedLookupTime is the same for an origin that is not proved yet.
	unprovedLookupTime = 3 * time.Second
	// maxOriginLookups bounds the origins looked up at a time.
	maxOriginLookups = 512
)

// originState is what a process of a seeded fleet knows of the origins of streams. Package requests holds
// those of this host's own streams.
type originState struct {
	// reported are the origins that clients reported to this replica or hub.
	reported origins.Store
	// received are those that a hub received since its last poll, sent those of the last poll.
	received origins.Report
	sent     origins.Report
	// reportedAt is when streams were last reported apart from polls.
	reportedAt time.Time
	// lookups holds the origins that are looked up.
	lookups table.Table[hash.Key, originLookup]
}

// originLookup is an origin that has been looked up since a time. isUnproved is set once it is known not to be proved yet.
type originLookup struct {
	since      time.Time
	isUnproved bool
}

// isOver reports whether an origin is no longer looked up.
func (l originLookup) isOver(now time.Time) bool {
	if l.isUnproved {
		return now.Sub(l.since) > unprovedLookupTime
	}
	return now.Sub(l.since) > originLookupTime
}

// lookUpOrigin looks up the origin of a stream in the next polls.
func (t *transition) lookUpOrigin(stream hash.Key) {
	o := &t.seeded.origins
	if !o.lookups.Has(stream) && o.lookups.Len() < maxOriginLookups {
		o.lookups = o.lookups.With(stream, originLookup{since: t.now})
	}
}

// originPollDue reports whether this host should poll early to look origins up, or to report that of a
// stream that broke off.
func (t *transition) originPollDue() bool {
	lastPoll := t.seeded.pollAt.Add(-t.pollInterval())
	return t.originsPending() && t.now.Sub(lastPoll) >= minOriginPollInterval
}

// originsPending reports whether origins are being looked up, or one is to be reported soon.
func (t *transition) originsPending() bool {
	for _, l := range t.seeded.origins.lookups.All() {
		if !l.isUnproved {
			return true
		}
	}
	return t.requests.OriginReportDue()
}

// needsPeersForOrigins reports whether origins are to be exchanged and no replica replies.
func (t *transition) needsPeersForOrigins() bool {
	if !t.originsPending() && !t.requests.HasUnreportedOrigins() {
		return false
	}
	return !t.replicaRepliedWithin(pollAllAfterIntervals * t.pollInterval())
}

// originFields returns what polls report and look up. Without a receiver that replies, reports are kept.
func (t *transition) originFields(hasReceiver bool) (begun, lookedUp []byte) {
	o := &t.seeded.origins
	if hasReceiver {
		next, taken := t.requests.TakeOrigins()
		t.requests = next
		taken = taken.Merge(o.received)
		begun = taken.Merge(o.sent).Encode()
		o.sent, o.received = taken, nil
	}
	var keys []hash.Key
	for key, l := range o.lookups.All() {
		if l.isOver(t.now) {
			o.lookups = o.lookups.Without(key)
			continue
		}
		keys = append(keys, key)
	}
	return begun, origins.EncodeKeys(keys)
}

// tickOriginReport reports the streams that were begun since the last report to the hosts that are polled.
func (t *transition) tickOriginReport() {
	o := &t.seeded.origins
	isIdle := !t.requests.HasUnreportedOrigins() && len(o.received) == 0
	if isIdle || t.now.Sub(o.reportedAt) < reportInterval || t.needsPeersForOrigins() {
		return
	}
	var to []ident.Host
	for _, h := range t.seeded.hub.lastPolled {
		if c, _ := t.seeded.contacts.Get(h); c.readsStreamsBegun && !c.lost {
			to = append(to, h)
		}
	}
	if len(to) == 0 {
		return
	}
	next, taken := t.requests.TakeOrigins()
	t.requests = next
	taken = taken.Merge(o.received)
	o.reportedAt, o.received = t.now, nil
	if len(to) == 1 {
		o.sent = o.sent.Merge(taken)
	}
	m := StreamsBegun{Origins: taken.Encode()}
	for _, h := range to {
		t.send(h, m)
	}
}

// handleStreamsBegun keeps the origins that a host reports, on the disk of a replica as well. Those that polls
// repeat are kept in memory only.
func (t *transition) handleStreamsBegun(from ident.Host, m StreamsBegun) {
	if r := t.handleBegunStreams(from, m.Origins); r.Len() > 0 && t.settings.IsReplica() {
		t.emit(PersistOrigins{Report: r})
	}
}

// WithOrigins returns the state with origins read from disk, as of a time.
func (s State) WithOrigins(r origins.Report, at time.Time) State {
	s.seeded.origins.reported = s.seeded.origins.reported.WithReport(r, at)
	return s
}

// handleBegunStreams keeps the origins that a client reports, and returns them.
func (t *transition) handleBegunStreams(from ident.Host, packed []byte) origins.Report {
	r, err := origins.Decode(packed)
	if err != nil {
		t.log(LogReplicaContact, string(from), "cannot decode origins: "+err.Error())
	}
	if r.Len() == 0 {
		return nil
	}
	o := &t.seeded.origins
	o.reported = o.reported.WithReport(r, t.now)
	if !t.settings.IsReplica() {
		o.received = o.received.Merge(r)
	}
	return r
}

// originsFor returns the known ones of the origins that a client looks up. A hub looks the others up.
func (t *transition) originsFor(lookedUp []byte) []byte {
	var found origins.Report
	for _, key := range origins.DecodeKeys(lookedUp) {
		origin, ok := t.seeded.origins.reported.Of(key)
		if !ok {
			origin, ok = t.requests.OriginOf(key)
		}
		if ok {
			found = found.With(origin, key)
		}
		if (!ok || origin.Unproved) && !t.settings.IsReplica() {
			t.lookUpOrigin(key)
		}
	}
	return found.Encode()
}

// recordLookup ends the lookup of an origin that was found and is proved.
func (t *transition) recordLookup(key hash.Key, found origins.Origin) {
	o := &t.seeded.origins
	l, known := o.lookups.Get(key)
	switch {
	case !found.Unproved:
		o.lookups = o.lookups.Without(key)
	case known:
		l.isUnproved = true
		o.lookups = o.lookups.With(key, l)
	}
}

// handleFoundOrigins applies the origins in a reply.
func (t *transition) handleFoundOrigins(from ident.Host, packed []byte) {
	r, err := origins.Decode(packed)
	if err != nil {
		t.log(LogReplicaContact, string(from), "cannot decode origins: "+err.Error())
	}
	for _, g := range r {
		for _, key := range g.Keys {
			t.recordLookup(key, g.Origin)
			t.reduceRequests(requests.OriginFound{Stream: key, Origin: g.Origin})
		}
	}
}
