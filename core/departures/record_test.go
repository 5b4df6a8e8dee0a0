// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package departures_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/departures"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
)

// TestRecordTellsWhatIsOnDisk guards against a departure that counts as persisted because an earlier one of
// the same worker is on disk.
func TestRecordTellsWhatIsOnDisk(t *testing.T) {
	now := time.Unix(5000, 0)
	draining := registry.Worker{ID: "w1", State: registry.Draining, Seq: 4}
	gone := registry.Worker{ID: "w1", State: registry.Gone, Seq: 4}
	r := departures.Record{}.With(draining, now)
	require.False(t, r.IsPersisted("w1"))
	written := r.Position()
	r = r.With(gone, now)
	require.False(t, r.WithPersisted(written).IsPersisted("w1"))
	r = r.WithPersisted(r.Position())
	require.True(t, r.IsPersisted("w1"))
	require.Empty(t, r.Unpersisted())
	require.Equal(t, r.Position(), r.With(draining, now).Position(), "an older report changes nothing")

	again := r.Without("w1")
	require.Greater(t, again.Position(), r.Position(), "the disk must drop it, too")
	_, known := again.Get("w1")
	require.False(t, known)
	require.Empty(t, again.Entries())
}

// TestRecordIsBounded guards against departures that fill memory and disk: old ones are forgotten, and the
// oldest give way to new ones.
func TestRecordIsBounded(t *testing.T) {
	const most, more = 1 << 15, 10
	now := time.Unix(5000, 0)
	var r departures.Record
	for i := range most + more {
		r = r.With(registry.Worker{ID: ident.Target(fmt.Sprint(i)), State: registry.Gone}, now)
	}
	require.Len(t, r.Entries(), most)
	require.Equal(t, ident.Target(fmt.Sprint(more)), r.Entries()[0].Worker.ID)
	require.Len(t, r.Forget(now.Add(departures.Retention)).Entries(), most)
	require.Empty(t, r.Forget(now.Add(departures.Retention+time.Second)).Entries())
}
