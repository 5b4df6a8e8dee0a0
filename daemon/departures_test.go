// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/departures"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/storage"
)

// TestWorkersThatLeaveAreAnswered guards against answers that are kept from a worker although another replica
// holds its report, or that are given to another worker.
func TestWorkersThatLeaveAreAnswered(t *testing.T) {
	var waits departureWaits
	first, again, other := waits.add("w1"), waits.add("w1"), waits.add("w2")
	waits.end("w1")
	for _, ch := range []chan struct{}{first, again} {
		_, open := <-ch
		require.False(t, open)
	}
	select {
	case <-other:
		require.Fail(t, "answered for another worker")
	default:
	}
	waits.end("w1")
	waits.end("w2")
	require.Empty(t, waits.waiting)
}

// TestReplicaAloneAnswersAtOnce guards against workers of a fleet with a single replica that wait for others. Its
// disk writes at once, as that of the machine may hang.
func TestReplicaAloneAnswersAtOnce(t *testing.T) {
	d := replicaDaemon(t)
	d.loop.departureDisk.write = func(r departures.Record) error {
		d.loop.Post(host.DeparturesPersisted{Position: r.Position()})
		return nil
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go d.loop.departureDisk.run(ctx)
	begun := time.Now()
	d.loop.Heartbeat(host.DeregistrationReceived{Worker: "w1"})
	require.Less(t, time.Since(begun), host.MaxShareTime/2)
}

// TestDepartureIsOnDiskOnceAcknowledged guards against a departure that is lost with the process although it
// was acknowledged, and against an acknowledgement without a disk.
func TestDepartureIsOnDiskOnceAcknowledged(t *testing.T) {
	d := replicaDaemon(t)
	begun := time.Now()
	require.False(t, d.loop.Heartbeat(host.DeregistrationReceived{Worker: "w1"}).Accepted, "nothing writes to disk yet")
	require.Less(t, time.Since(begun), time.Second, "the worker has time to report elsewhere")

	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go d.loop.departureDisk.run(ctx)
	for _, id := range []string{"w1", "w2"} {
		leaves := host.DeregistrationReceived{Worker: ident.Target(id)}
		require.Eventually(t, func() bool { return d.loop.Heartbeat(leaves).Accepted }, time.Minute, time.Millisecond)
		onDisk, err := storage.ReadDepartures(d.settings.Host.Data)
		require.NoError(t, err)
		require.Equal(t, ident.Target(id), onDisk[len(onDisk)-1].Worker.ID)
		require.Equal(t, registry.Gone, onDisk[len(onDisk)-1].Worker.State)
	}
}

// TestDeparturesAreReadAtTheStart guards against departures that never age, or that a time of day that was set
// back makes last for ever.
func TestDeparturesAreReadAtTheStart(t *testing.T) {
	dir, at, now := t.TempDir(), time.UnixMilli(1_790_000_000_000), time.Unix(77, 0)
	entry := departures.Entry{Worker: registry.Worker{ID: "w1", State: registry.Gone}, Since: at}
	require.NoError(t, storage.WriteDepartures(dir, []departures.Entry{entry}, nil))
	for since, want := range map[time.Duration]time.Duration{time.Minute: time.Minute, -time.Minute: 0} {
		read := readDepartures(dir, logr.Discard(), now, at.Add(since))
		require.Len(t, read, 1)
		require.Equal(t, now.Add(-want), read[0].Since)
	}
}
