// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/raft"
)

// newReplicaFeed starts the only replica of a fleet as leader, and returns a function that applies
// an event to it, completes its disk writes and returns all effects.
func newReplicaFeed(t testing.TB, now *time.Time) func(host.Event) []host.Effect {
	self := config.Host{ID: "state", Zone: "z0", Address: "127.0.0.1:1"}
	s := host.New(host.Settings{ID: self.ID, Zone: self.Zone, Address: self.Address, Replicas: []config.Host{self}}, 1, *now)
	s, err := s.WithReplicaState(raft.Boot{}, *now)
	require.NoError(t, err)
	feed := func(ev host.Event) []host.Effect {
		var out []host.Effect
		queue := []host.Event{ev}
		for len(queue) > 0 {
			var effects []host.Effect
			s, effects = host.Reduce(s, queue[0], *now)
			queue = queue[1:]
			for _, e := range effects {
				if p, ok := e.(host.Persist); ok {
					queue = append(queue, host.EntriesPersisted{Persisted: raft.Persisted{Index: p.Persist.Index, Term: p.Persist.Term}})
				}
				out = append(out, e)
			}
		}
		return out
	}
	for range 100 {
		*now = now.Add(tickInterval)
		feed(host.Tick{})
	}
	require.True(t, s.Raft().LeaseHeld(*now))
	return feed
}

func putClass(rank int) host.WriteSubmitted {
	return host.WriteSubmitted{Deadline: time.Unix(2_000_000_000, 0), Write: catalog.Write{
		ID: fmt.Sprint("w", rank), Command: catalog.Edit{Change: config.PutClass{Class: config.Class{ID: "c", Rank: rank}}},
	}}
}

// TestFollowerVersionNeverDecreases guards against a follower that returns to an older
// configuration when messages arrive late, duplicated or out of order.
func TestFollowerVersionNeverDecreases(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	feed := newReplicaFeed(t, &now)
	var sent []host.Message
	for i := range 30 {
		feed(putClass(i))
		for _, version := range []config.Version{0, config.Version(i / 2)} {
			for _, e := range feed(host.MessageReceived{From: "h", Message: host.Follow{Host: config.Host{ID: "h", Zone: "z0", Address: "127.0.0.1:1"}, Version: version}}) {
				if m, ok := e.(host.Send); ok && m.To == "h" {
					sent = append(sent, m.Message)
				}
			}
		}
	}
	f := host.New(host.Settings{ID: "h", Zone: "z0", Serves: true}, 1, now)
	highest := config.Version(0)
	for i := range sent {
		f, _ = host.Reduce(f, host.MessageReceived{From: "state", Message: sent[(i*37)%len(sent)]}, now)
		require.GreaterOrEqual(t, f.Config().Version, highest)
		highest = f.Config().Version
	}
	require.Greater(t, highest, config.Version(20))
}

// BenchmarkFanOut measures the effects of one change at a replica with followers.
func BenchmarkFanOut(b *testing.B) {
	for _, hosts := range []int{7, 78, 390} {
		b.Run(fmt.Sprint(hosts, "-followers"), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			feed := newReplicaFeed(b, &now)
			for i := range hosts {
				id := ident.Host(fmt.Sprintf("h%03d", i))
				feed(host.MessageReceived{From: id, Message: host.Follow{Host: config.Host{ID: id, Zone: "z0", Address: "127.0.0.1:1"}, Version: 1}})
			}
			n, sends, bytes := 0, 0, 0.0
			for b.Loop() {
				n++
				for _, e := range feed(putClass(n)) {
					if m, ok := e.(host.Send); ok {
						sends++
						if sends%hosts == 1 {
							bytes += encodedSize(m.Message)
						}
					}
				}
			}
			b.ReportMetric(float64(sends)/float64(n), "sends/change")
			b.ReportMetric(bytes/float64(n), "B/host/change")
		})
	}
}

// BenchmarkRecovery measures the start of a replica from a log of changes, and from a snapshot with
// claims.
func BenchmarkRecovery(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	self := config.Host{ID: "state", Zone: "z0", Address: "127.0.0.1:1"}
	boot := func(b *testing.B, disk raft.Boot) {
		for b.Loop() {
			s := host.New(host.Settings{ID: self.ID, Replicas: []config.Host{self}}, 1, now)
			s, err := s.WithReplicaState(disk, now)
			require.NoError(b, err)
			at := now
			for s.Raft().Role() != raft.Leader {
				at = at.Add(tickInterval)
				s, _ = host.Reduce(s, host.Tick{}, at)
			}
			last := s.Raft().Log().Last()
			s, _ = host.Reduce(s, host.EntriesPersisted{Persisted: raft.Persisted{Index: last, Term: s.Raft().Term()}}, at)
			require.Equal(b, last, s.Raft().CommitIndex())
		}
	}
	for _, n := range []int{500, 2000, 4000} {
		var disk raft.Boot
		for i := range n {
			data := catalog.Write{Command: catalog.Edit{Change: config.PutClass{Class: config.Class{ID: "c", Rank: i}}}}.Encode()
			disk.Entries = append(disk.Entries, raft.Entry{Index: raft.Index(i + 1), Term: 1, Data: data})
		}
		disk.Hard.Term = 1
		b.Run(fmt.Sprint(n, "-entries"), func(b *testing.B) { boot(b, disk) })
	}
	for _, n := range []int{5000, 20000, 40000} {
		disk := raft.Boot{Hard: raft.HardState{Term: 1}, Snapshot: raft.Snapshot{
			Index: 1, Term: 1, Members: []raft.Member{{ID: self.ID, Voter: true}}, Data: claims(n).Encode(),
		}}
		b.Run(fmt.Sprint(n, "-claims"), func(b *testing.B) { boot(b, disk) })
	}
}
