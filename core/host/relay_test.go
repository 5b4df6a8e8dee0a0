// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
)

// manyWorkers are more than replicas hear themselves.
const manyWorkers = 600

// relayedFleet has its workers' heartbeats go where the answers say.
type relayedFleet struct {
	*seededFleet
	relay map[ident.Target]ident.Host
	seq   uint64
}

func startRelayed(t *testing.T, entries int) *relayedFleet {
	f := &relayedFleet{seededFleet: newSeededFleet(t, 3, entries), relay: map[ident.Target]ident.Host{}}
	f.run(5 * time.Second)
	require.True(t, f.put(f.leader(), f.table(1, "k"), time.Second))
	for range 3 {
		f.beatAll()
		f.run(time.Second)
	}
	return f
}

func workerName(i int) ident.Target { return ident.Target(fmt.Sprintf("w-%03d", i)) }

func (f *relayedFleet) worker(i int, state registry.State) registry.Worker {
	return registry.Worker{ID: workerName(i), Pool: "pool", Zone: "z", Address: fmt.Sprintf("10.9.0.%d:80", i), Slots: 4, State: state, Seq: f.seq}
}

// say sends a worker's word to a host; taken is false where nobody answers.
func (f *relayedFleet) say(at ident.Host, ev host.Event) host.HeartbeatAnswer {
	f.beats = nil
	f.reduce(at, ev)
	if len(f.beats) == 0 {
		return host.HeartbeatAnswer{}
	}
	return f.beats[0]
}

// beatAll has each worker send a heartbeat to its relay, or where it has none or
// fails there, to a replica.
func (f *relayedFleet) beatAll() {
	f.seq++
	for i := range manyWorkers {
		w := f.worker(i, registry.Ready)
		if relay, ok := f.relay[w.ID]; ok {
			if f.say(relay, host.HeartbeatReceived{Worker: w}).Accepted {
				continue
			}
			delete(f.relay, w.ID)
		}
		answer := f.say(replicaName(i%3), host.HeartbeatReceived{Worker: w})
		if relay, ok := strings.CutPrefix(answer.Relay, "relay at "); ok {
			f.relay[w.ID] = ident.Host(relay)
		}
	}
}

// usableAt counts the workers that a host takes for ready.
func (f *relayedFleet) usableAt(at ident.Host) int {
	n := 0
	for i := range manyWorkers {
		if w, ok := f.states[at].Requests().Worker(workerName(i)); ok && w.State == registry.Ready {
			n++
		}
	}
	return n
}

// TestRelaysTakeHeartbeatsOfManyWorkers has relays hear all workers for longer
// than a worker may be silent, over a restart of all replicas, and stops a relay.
func TestRelaysTakeHeartbeatsOfManyWorkers(t *testing.T) {
	f := startRelayed(t, 4)
	require.Len(t, f.relay, manyWorkers, "replicas name relays")
	used := map[ident.Host]int{}
	for _, relay := range f.relay {
		used[relay]++
	}
	require.Len(t, used, 4)
	for range 10 {
		f.beatAll()
		f.run(time.Second)
	}
	for i := range 4 {
		require.Equal(t, manyWorkers, f.usableAt(entryName(i)))
	}
	for i := range 3 {
		f.stop(replicaName(i))
		f.start(replicaName(i))
	}
	for range 12 {
		f.beatAll()
		f.run(time.Second)
	}
	known := 0
	for i := range 3 {
		known += f.states[replicaName(i)].Registry().Ready()
	}
	require.Equal(t, manyWorkers, known, "replicas learn of workers from relays")
	f.reduce(entryName(0), host.Drain{})
	for range 8 {
		f.beatAll()
		f.run(time.Second)
	}
	for _, relay := range f.relay {
		require.NotEqual(t, entryName(0), relay, "a relay that stops sends workers away")
	}
	require.Equal(t, manyWorkers, f.usableAt(entryName(1)))
}

// TestRelaysAcknowledgeOnlyWhatChangesNothing sends relays what replicas must
// hear, and cuts one off.
func TestRelaysAcknowledgeOnlyWhatChangesNothing(t *testing.T) {
	f := startRelayed(t, 2)
	relay := f.relay[workerName(7)]
	f.seq++
	require.False(t, f.say(relay, host.HeartbeatReceived{Worker: f.worker(7, registry.Draining)}).Accepted)
	require.False(t, f.say(relay, host.DeregistrationReceived{Worker: workerName(7)}).Accepted)
	moved := f.worker(7, registry.Ready)
	moved.Address = "10.9.9.9:80"
	require.False(t, f.say(relay, host.HeartbeatReceived{Worker: moved}).Accepted)
	stranger := f.worker(7, registry.Ready)
	stranger.ID = "stranger"
	require.True(t, f.say(relay, host.HeartbeatReceived{Worker: stranger}).Accepted, "its first word to a replica may be under way")
	f.run(3 * time.Second)
	for i := range 2 {
		w, ok := f.states[entryName(i)].Requests().Worker("stranger")
		require.True(t, ok && w.State == registry.Ready, "or lost: then the relay's word brings it in")
	}

	require.Empty(t, f.say(replicaName(0), host.HeartbeatReceived{Worker: f.worker(7, registry.Draining)}).Relay)
	f.run(time.Second)
	require.False(t, f.say(relay, host.HeartbeatReceived{Worker: f.worker(7, registry.Ready)}).Accepted, "a leaving worker is no longer known as ready")

	f.cutOff(relay, true)
	f.run(4 * time.Second)
	require.False(t, f.say(relay, host.HeartbeatReceived{Worker: f.worker(8, registry.Ready)}).Accepted, "a relay that no replica answers")
}

// TestFewWorkersAreHeardByReplicas names no relay in a small fleet.
func TestFewWorkersAreHeardByReplicas(t *testing.T) {
	f := newSeededFleet(t, 3, 2)
	f.run(5 * time.Second)
	for i := range 400 {
		f.beat(replicaName(i%3), fmt.Sprint("w-", i), registry.Ready, 1)
	}
	f.run(2 * time.Second)
	f.beats = nil
	f.beat(replicaName(0), "w-0", registry.Ready, 2)
	require.Equal(t, []host.HeartbeatAnswer{{Accepted: true}}, f.beats)
}

// TestManyRegistrationsGoOutAtABoundedRate has many workers register at
// one replica: what it sends in a tick is bounded, nothing is sent twice while it
// is under way, and every host learns of all.
func TestManyRegistrationsGoOutAtABoundedRate(t *testing.T) {
	const entries, workers = 40, 600
	f := newSeededFleet(t, 3, entries)
	f.run(5 * time.Second)
	require.True(t, f.put(f.leader(), f.table(1, "k"), time.Second))
	at := replicaName(0)
	for i := range workers {
		f.reduce(at, host.HeartbeatReceived{Worker: registry.Worker{
			ID: workerName(i), Pool: "pool", Zone: "z", Address: fmt.Sprintf("10.9.%d.%d:80", i/250, i%250), Slots: 4, Seq: 1,
		}})
	}
	sent, perTick := 0, map[time.Time]int{}
	f.seen = func(p seededPacket) {
		if m, ok := p.message.(host.PollReply); ok && p.from == at {
			sent += len(m.Workers)
			perTick[f.now] += len(m.Workers)
		}
	}
	f.run(15 * time.Second)
	for _, bytes := range perTick {
		require.Less(t, bytes, 40<<10)
	}
	require.Less(t, sent, entries*workers*40, "each host is sent each worker once")
	for i := range entries {
		for w := range workers {
			_, ok := f.states[entryName(i)].Requests().Worker(workerName(w))
			require.True(t, ok)
		}
	}
}

// TestRelayKeepsWorkersWhileReplicasAreSilent lets replicas answer a relay no more, as
// where they are overloaded: it keeps each worker for a while after the worker was at a
// replica, and sends it there again before replicas would take it for silent.
func TestRelayKeepsWorkersWhileReplicasAreSilent(t *testing.T) {
	f := newServingFleet(t, 2)
	f.hold = func(p seededPacket) time.Duration {
		if f.disks[p.from] != nil && p.to == entryName(0) {
			return time.Hour
		}
		return 0
	}
	f.run(10 * time.Second)
	var sentBack []time.Time
	seq, begun := uint64(1), f.now
	for f.now.Sub(begun) < 30*time.Second {
		seq++
		f.beats = nil
		f.beat(entryName(0), "w1", registry.Ready, seq)
		if !f.beats[0].Accepted {
			sentBack = append(sentBack, f.now)
		}
		f.run(1200 * time.Millisecond)
	}
	require.Greater(t, len(sentBack), 3, "a relay that hears nobody must not keep workers for good")
	for i := 1; i < len(sentBack); i++ {
		between := sentBack[i].Sub(sentBack[i-1])
		require.GreaterOrEqual(t, between, 3*time.Second, "most heartbeats stay away from replicas")
		require.Less(t, between, 6*time.Second, "a worker that is not heard for so long is silent")
	}
}
