// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package origins_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/origins"
)

var (
	start = time.Unix(9000, 0)
	older = origins.Origin{Service: "drafter", Version: "v1"}
	newer = origins.Origin{Service: "drafter", Version: "v2"}
)

func keys(from, n int) []hash.Key {
	out := make([]hash.Key, 0, n)
	for i := range n {
		out = append(out, origins.KeyOf(ident.Request(fmt.Sprint("request-", from+i))))
	}
	return out
}

// TestOriginsOfReportedStreamsAreKnown guards against a stream that goes on at another version, or nowhere,
// although its origin was reported.
func TestOriginsOfReportedStreamsAreKnown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r origins.Report
		want := map[hash.Key]origins.Origin{}
		for i := range rapid.IntRange(0, 40).Draw(t, "streams") {
			o := origins.Origin{Service: "drafter", Version: rapid.SampledFrom([]ident.Version{"", "v1", "v2"}).Draw(t, "version")}
			key := keys(i, 1)[0]
			r, want[key] = r.With(o, key), o
		}
		decoded, err := origins.Decode(r.Merge(r).Encode())
		require.NoError(t, err)
		require.Equal(t, len(want), decoded.Len())
		s := origins.Store{}.WithReport(decoded, start)
		for key, o := range want {
			got, ok := s.Of(key)
			require.True(t, ok)
			require.Equal(t, o, got)
		}
		_, ok := s.Of(hash.Of("unknown"))
		require.False(t, ok)
	})
}

// TestStoreIsImmutable guards against a stream that an earlier state of a host learns of later.
func TestStoreIsImmutable(t *testing.T) {
	first := origins.Store{}.With(older, start, keys(0, 1)...)
	second := first.With(newer, start, keys(1, 1)...)
	third := first.With(older, start, keys(2, 1)...)
	_, ok := second.Of(keys(2, 1)[0])
	require.False(t, ok)
	got, _ := second.Of(keys(1, 1)[0])
	require.Equal(t, newer, got)
	require.Equal(t, 2, third.Len())
}

// TestExpiredOriginsAreDropped guards against memory that grows with the time that a host runs.
func TestExpiredOriginsAreDropped(t *testing.T) {
	s := origins.Store{}.With(older, start, keys(0, 5)...)
	s = s.With(newer, start.Add(origins.Retention), keys(5, 1)...)
	require.Equal(t, 6, s.Len())
	s = s.With(newer, start.Add(origins.Retention+time.Second), keys(6, 1)...)
	require.Equal(t, 2, s.Len())
}

// TestDecodeRejectsWhatIsTooLarge guards against memory that a malformed message takes.
func TestDecodeRejectsWhatIsTooLarge(t *testing.T) {
	long := origins.Origin{Service: ident.Service(make([]byte, 300))}
	_, err := origins.Decode(origins.Report{}.With(long, 1).Encode())
	require.Error(t, err)
	_, err = origins.Decode([]byte{0xff, 0x00})
	require.Error(t, err)
	many := origins.Report{{Origin: older, Keys: keys(0, 5000)}}
	decoded, err := origins.Decode(many.Encode())
	require.NoError(t, err)
	require.Equal(t, origins.MaxReported, decoded.Len())
	require.Empty(t, origins.DecodeKeys([]byte{1, 2, 3}))
}

// TestStoreOfLargeFleetIsBounded guards against a replica whose memory or time grows with the streams of
// the fleet: 390 hosts that begin 7,100 streams a second, for two minutes.
func TestStoreOfLargeFleetIsBounded(t *testing.T) {
	const hosts, perSecond, maxBytes = 390, 7100, 4 << 20
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var s origins.Store
	bytesSent, n := 0, 0
	for second := range 120 {
		for hub := range hosts / 20 {
			streams := perSecond * 20 / hosts
			r := origins.Report{{Origin: []origins.Origin{older, newer}[hub%2], Keys: keys(n, streams)}}
			n += streams
			bytesSent += len(r.Encode())
			s = s.WithReport(r, start.Add(time.Duration(second)*time.Second))
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	require.Less(t, after.HeapAlloc-before.HeapAlloc, uint64(maxBytes))
	require.Less(t, bytesSent/120, perSecond*9)
	got, ok := s.Of(keys(n-1, 1)[0])
	require.True(t, ok)
	require.True(t, slices.Contains([]origins.Origin{older, newer}, got))
}
