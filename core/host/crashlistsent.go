// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host

import (
	"time"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
)

// crashListResendInterval is the time after which a crash list is sent again to a host that still reports another
// one: the message may have been lost. Hosts may also disagree for long, as with an earlier version.
const crashListResendInterval = 2 * time.Second

// crashListSent is the crash list that was last sent to a host. The zero value says that none was.
type crashListSent struct {
	key hash.Key
	at  time.Time
}

// isDue reports whether to send the held list to a host that reports another key: once for each change,
// minCrashPollInterval apart. The bound holds whatever the host reports, so that an exchange of lists cannot keep
// a fleet busy.
func (s crashListSent) isDue(held, reported hash.Key, now time.Time) bool {
	interval := minCrashPollInterval
	if s.key == held {
		interval = crashListResendInterval
	}
	return held != reported && (s.at.IsZero() || now.Sub(s.at) >= interval)
}

// crashEntriesFor returns the crash list if it is due for a host that reports the given key, and what has been sent
// to it then.
func (t *transition) crashEntriesFor(reported hash.Key, sent crashListSent) ([]CrashEntry, crashListSent) {
	l := t.requests.CrashList()
	if !sent.isDue(l.Key, reported, t.now) {
		return nil, sent
	}
	return t.crashEntries(l), crashListSent{key: l.Key, at: t.now}
}

// crashEntriesForContact returns the crash list if it is due for a polled host.
func (t *transition) crashEntriesForContact(to ident.Host) []CrashEntry {
	c, _ := t.seeded.contacts.Get(to)
	entries, sent := t.crashEntriesFor(c.crashList, c.crashListSent)
	if entries != nil {
		c.crashListSent = sent
		t.seeded.contacts = t.seeded.contacts.With(to, c)
	}
	return entries
}
