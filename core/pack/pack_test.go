// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package pack_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/yardhall/yardhall/core/pack"
)

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOfN(rapid.Byte(), 0, 5000).Draw(t, "data")
		got, err := pack.Unpack(pack.Bytes(data))
		require.NoError(t, err)
		require.Equal(t, len(data), len(got))
		require.Equal(t, string(data), string(got))
	})
}

func TestRepeatedTextShrinks(t *testing.T) {
	text := strings.Repeat(`{"Name":"r","Host":"a.example"},`, 400)
	require.Less(t, len(pack.Bytes([]byte(text))), len(text)/20)
}

// TestRecordsOfOlderVersionsAreTakenAsTheyAre reads a plain CBOR map.
func TestRecordsOfOlderVersionsAreTakenAsTheyAre(t *testing.T) {
	old := []byte{0xa1, 0x61, 0x61, 0x01}
	got, err := pack.Unpack(old)
	require.NoError(t, err)
	require.Equal(t, old, got)
}

func TestDamagedRecordIsAnError(t *testing.T) {
	b := pack.Bytes([]byte(strings.Repeat("text ", 1000)))
	_, err := pack.Unpack(b[:len(b)/2])
	require.Error(t, err)
}
