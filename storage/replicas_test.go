// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package storage_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/raft"
	"github.com/yardhall/yardhall/storage"
)

const (
	replicaStep = 50 * time.Millisecond
	// compactAfter is how many entries are applied between two snapshots.
	compactAfter = 12
	// recoverTime is how long a group may take to commit again once all replicas run.
	recoverTime = 15 * time.Second
)

// unsyncedFile is a file whose syncs return at once, as the process that wrote it is not killed.
type unsyncedFile struct{ storage.File }

func (unsyncedFile) Sync() error { return nil }

// storedReplica is a replica with its data folder.
type storedReplica struct {
	state raft.State
	log   *storage.Log
	dir   string
	// unsynced are the writes that the disk has not begun.
	unsynced []raft.Persist
	// hangsUntil is until when the disk begins no write, cutUntil until when no message arrives or leaves.
	hangsUntil, cutUntil time.Time
	applied              raft.Index
}

type replicaPacket struct {
	from, to ident.Host
	message  raft.Message
}

// storedGroup is a group of replicas over data folders on disk, with one clock.
type storedGroup struct {
	rt       *rapid.T
	root     string
	now      time.Time
	disks    int
	replicas map[ident.Host]*storedReplica
	order    []ident.Host
	founders []raft.Member
	wire     []replicaPacket
	// committed are the entries that any replica has reported as committed.
	committed map[raft.Index]string
	proposals int
}

func newStoredGroup(rt *rapid.T, root string, n int) *storedGroup {
	g := &storedGroup{
		rt: rt, root: root, now: time.Unix(1000, 0), replicas: map[ident.Host]*storedReplica{},
		committed: map[raft.Index]string{},
	}
	for i := range n {
		g.founders = append(g.founders, raft.Member{ID: ident.Host(fmt.Sprintf("r%d", i)).WithDisk("first"), Voter: true})
	}
	for _, m := range g.founders {
		g.start(m.ID, g.founders)
	}
	return g
}

// start opens the data folder of a replica, which must not be damaged, and runs the replica.
func (g *storedGroup) start(id ident.Host, members []raft.Member) {
	dir := filepath.Join(g.root, strings.ReplaceAll(string(id), "#", "-"))
	o := storage.Options{
		Fleet: "yardhall", Identity: id, Members: members,
		Wrap: func(f storage.File) storage.File { return unsyncedFile{f} },
	}
	log, boot, err := storage.Open(dir, o)
	require.NoError(g.rt, err, "%s", id)
	state := raft.New(id, raft.Options{MaxBatch: 200, Chunk: 16}, 7, boot, g.now)
	g.replicas[id] = &storedReplica{state: state, log: log, dir: dir, applied: boot.Snapshot.Index}
	if !slices.Contains(g.order, id) {
		g.order = append(g.order, id)
	}
}

// loseDisk replaces a replica whose process has ended by one with an empty disk and no vote.
func (g *storedGroup) loseDisk(id ident.Host) {
	delete(g.replicas, id)
	g.order = slices.DeleteFunc(g.order, func(o ident.Host) bool { return o == id })
	g.disks++
	g.start(id.Address().WithDisk(fmt.Sprintf("disk-%d", g.disks)), nil)
}

func (g *storedGroup) step(id ident.Host, ev raft.Event) {
	r := g.replicas[id]
	next, effects := r.state.Step(ev, g.now)
	r.state = next
	for _, e := range effects {
		switch e := e.(type) {
		case raft.Send:
			g.wire = append(g.wire, replicaPacket{id, e.To, e.Message})
		case raft.Persist:
			r.unsynced = append(r.unsynced, e)
		case raft.Commit:
			g.apply(r, e.Entries)
		case raft.Restore:
			r.applied = e.Snapshot.Index
		}
	}
}

func (g *storedGroup) apply(r *storedReplica, entries []raft.Entry) {
	for _, e := range entries {
		text := fmt.Sprint(e.Term, e.Kind, string(e.Data))
		known, ok := g.committed[e.Index]
		require.True(g.rt, !ok || known == text, "entry %d was %q and is %q", e.Index, known, text)
		g.committed[e.Index] = text
		r.applied = e.Index
	}
}

// sync writes what waits for a disk in one go, as package daemon does, unless the disk hangs.
func (g *storedGroup) sync(id ident.Host) {
	r := g.replicas[id]
	if len(r.unsynced) == 0 || g.now.Before(r.hangsUntil) {
		return
	}
	batch := r.unsynced
	r.unsynced = nil
	require.NoError(g.rt, r.log.Write(batch))
	for _, p := range batch {
		for _, s := range p.Then {
			g.wire = append(g.wire, replicaPacket{id, s.To, s.Message})
		}
	}
	last := batch[len(batch)-1]
	g.step(id, raft.Persisted{Index: last.Index, Term: last.Term})
}

func (g *storedGroup) deliver() {
	batch := g.wire
	g.wire = nil
	for _, p := range batch {
		from, to := g.replicas[p.from], g.replicas[p.to]
		if from == nil || to == nil || g.now.Before(from.cutUntil) || g.now.Before(to.cutUntil) {
			continue
		}
		g.step(p.to, raft.Receive{From: p.from, Message: p.message})
	}
}

func (g *storedGroup) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); {
		g.now = g.now.Add(replicaStep)
		for _, id := range g.order {
			g.step(id, raft.Tick{})
			g.compact(id)
		}
		if leader := g.leader(); leader != "" {
			g.proposals++
			g.step(leader, raft.Propose{Data: []byte(fmt.Sprint("change ", g.proposals))})
			g.changeMembers(leader)
		}
		for range 4 {
			for _, id := range g.order {
				g.sync(id)
			}
			g.deliver()
		}
	}
}

func (g *storedGroup) compact(id ident.Host) {
	r := g.replicas[id]
	if r.applied >= r.state.SnapshotIndex()+compactAfter {
		g.step(id, raft.Compact{Index: r.applied, Data: []byte(strings.Repeat("applied state ", 8))})
	}
}

// changeMembers makes the leader take in the replicas that run and remove the others.
func (g *storedGroup) changeMembers(leader ident.Host) {
	state := g.replicas[leader].state
	for _, m := range state.Members() {
		switch {
		case g.replicas[m.ID] == nil:
			g.step(leader, raft.ChangeMember{Member: raft.Member{ID: m.ID}, Remove: true})
		case !m.Voter:
			g.step(leader, raft.ChangeMember{Member: raft.Member{ID: m.ID, Voter: true}})
		}
	}
	for _, id := range g.order {
		if !state.IsMember(id) {
			g.step(leader, raft.ChangeMember{Member: raft.Member{ID: id}})
		}
	}
}

func (g *storedGroup) leader() ident.Host {
	for _, id := range g.order {
		if g.replicas[id].state.LeaseHeld(g.now) {
			return id
		}
	}
	return ""
}

// areAllVoters reports whether all replicas that run vote and hold what is committed, and nobody else votes.
func (g *storedGroup) areAllVoters() bool {
	leader := g.leader()
	if leader == "" || len(g.replicas[leader].state.Members()) != len(g.order) {
		return false
	}
	for _, id := range g.order {
		r := g.replicas[id]
		if !r.state.IsVoter() || r.applied+2 < g.newest() {
			return false
		}
	}
	return true
}

// newest is the index of the newest entry that is committed.
func (g *storedGroup) newest() raft.Index {
	var newest raft.Index
	for i := range g.committed {
		newest = max(newest, i)
	}
	return newest
}

// disturb makes one fault.
func (g *storedGroup) disturb() {
	id := rapid.SampledFrom(g.order).Draw(g.rt, "replica")
	until := g.now.Add(time.Duration(rapid.IntRange(2, 60).Draw(g.rt, "steps")) * replicaStep)
	switch rapid.SampledFrom([]string{"hang", "hang", "cut", "restart", "lose disk"}).Draw(g.rt, "fault") {
	case "hang":
		g.replicas[id].hangsUntil = until
	case "cut":
		g.replicas[id].cutUntil = until
	case "restart":
		g.losePower(id)
		g.start(id, nil)
	case "lose disk":
		g.awaitVoters()
		g.losePower(id)
		g.loseDisk(id)
	}
	g.run(time.Duration(rapid.IntRange(1, 40).Draw(g.rt, "after")) * replicaStep)
}

// losePower ends the process of a replica; what its disk has not begun to write is lost.
func (g *storedGroup) losePower(id ident.Host) {
	require.NoError(g.rt, g.replicas[id].log.Close())
	g.wire = slices.DeleteFunc(g.wire, func(p replicaPacket) bool { return p.from == id || p.to == id })
}

func (g *storedGroup) awaitVoters() {
	begun := g.now
	for !g.areAllVoters() {
		require.Less(g.rt, g.now.Sub(begun), recoverTime, "leader %q, committed %d", g.leader(), g.newest())
		g.run(replicaStep)
	}
}

// TestReplicasComeBackFromDisksThatHang guards against acknowledged entries that a replica does not find on its disk
// again, whatever snapshots and entries arrived while the disk hung: with two disks of five lost, a third that is
// damaged ends the group.
func TestReplicasComeBackFromDisksThatHang(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		root, err := os.MkdirTemp(t.TempDir(), "group")
		require.NoError(rt, err)
		n := rapid.SampledFrom([]int{3, 5}).Draw(rt, "replicas")
		g := newStoredGroup(rt, root, n)
		g.awaitVoters()
		for range rapid.IntRange(1, 6).Draw(rt, "faults") {
			g.disturb()
		}
		g.awaitVoters()
		acknowledged := g.newest()
		emptied := rapid.Permutation(g.order).Draw(rt, "emptied")[:n/2]
		for _, id := range g.order {
			g.losePower(id)
		}
		for _, id := range slices.Clone(g.order) {
			if slices.Contains(emptied, id) {
				g.loseDisk(id)
			} else {
				g.start(id, nil)
			}
		}
		g.awaitVoters()
		require.Greater(rt, g.newest(), acknowledged)
		for _, id := range g.order {
			require.NoError(rt, g.replicas[id].log.Close())
		}
	})
}
