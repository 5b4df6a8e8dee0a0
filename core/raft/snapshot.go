// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package raft

import (
	"slices"

	"github.com/yardhall/yardhall/core/ident"
)

// compact makes a snapshot of the applied state and drops the log before it.
func (w *step) compact(ev Compact) {
	t, ok := w.log.TermAt(ev.Index)
	if !ok || ev.Index <= w.snapshot.Index || ev.Index > w.commit {
		return
	}
	members := w.membersUpTo(ev.Index)
	w.snapshot = Snapshot{Index: ev.Index, Term: t, Members: members, Data: ev.Data}
	w.log = w.log.WithCompacted(ev.Index, t)
	snap := w.snapshot
	w.newSnap = &snap
}

// membersUpTo returns the member list in force at index i.
func (w *step) membersUpTo(i Index) []Member {
	if w.membersAt <= i {
		return w.members
	}
	for j := i; j >= w.log.First(); j-- {
		if e := w.log.At(j); e.Kind == EntryMembers {
			return e.Members
		}
	}
	return w.snapshot.Members
}

// sendChunk sends the next piece of the snapshot to a peer that is behind it.
func (w *step) sendChunk(i int) {
	p := w.peers[i]
	if p.snapIndex != w.snapshot.Index {
		p.snapIndex, p.offset = w.snapshot.Index, 0
	}
	end := min(p.offset+w.options.Chunk, len(w.snapshot.Data))
	w.send(p.id, SnapshotChunk{
		Term: w.hard.Term, Index: w.snapshot.Index, LogTerm: w.snapshot.Term,
		Members: w.snapshot.Members, Offset: p.offset,
		Data: w.snapshot.Data[p.offset:end], Last: end == len(w.snapshot.Data),
	})
	w.setPeer(i, p)
}

func (w *step) onSnapshotChunk(from ident.Host, m SnapshotChunk) {
	w.followLeader(from)
	reply := SnapshotReply{Term: w.hard.Term, Index: m.Index}
	if m.Index <= w.commit {
		// The snapshot may have been installed by an earlier copy of this chunk and not be on disk yet.
		reply.Done = true
		w.sendSynced(from, reply)
		return
	}
	if m.Offset == 0 || w.incomeIdx != m.Index {
		w.incoming, w.incomeIdx = nil, m.Index
	}
	if m.Offset != len(w.incoming) {
		reply.Next = len(w.incoming)
		w.send(from, reply)
		return
	}
	w.incoming = append(slices.Clip(w.incoming), m.Data...)
	reply.Next = len(w.incoming)
	if !m.Last {
		w.send(from, reply)
		return
	}
	w.install(Snapshot{Index: m.Index, Term: m.LogTerm, Members: m.Members, Data: w.incoming})
	reply.Done = true
	w.sendSynced(from, reply)
}

func (w *step) install(snap Snapshot) {
	w.incoming, w.incomeIdx = nil, 0
	if t, ok := w.log.TermAt(snap.Index); ok && t == snap.Term {
		w.log = w.log.WithCompacted(snap.Index, snap.Term)
	} else {
		w.log = NewLog(snap.Index, snap.Term, nil)
		w.stable = snap.Index
	}
	w.snapshot = snap
	w.commit = snap.Index
	w.members, w.membersAt = snap.Members, snap.Index
	w.State = w.withMembersFromLog()
	w.newSnap = &snap
	w.out = append(w.out, Restore{Snapshot: snap})
}

func (w *step) onSnapshotReply(from ident.Host, m SnapshotReply) {
	i := w.peerIndex(from)
	if w.role != Leader || i < 0 {
		return
	}
	p := w.peers[i]
	p.lastReply = w.now
	if m.Done {
		p.match = max(p.match, m.Index)
		p.next = max(p.next, m.Index+1)
		p.offset, p.snapIndex = 0, 0
		w.setPeer(i, p)
		w.replicateTo(i, true)
		return
	}
	if m.Index != w.snapshot.Index {
		return
	}
	p.snapIndex, p.offset = m.Index, min(m.Next, len(w.snapshot.Data))
	w.setPeer(i, p)
	w.sendChunk(i)
}
