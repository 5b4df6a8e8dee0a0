// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package pack_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/yardhall/yardhall/core/pack"
)

// TestPatchLeadsToTheSameRecord draws two documents of a few objects, which
// repeat, move and end in the middle.
func TestPatchLeadsToTheSameRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		piece := rapid.SampledFrom([]string{`{"a":1},`, `{"b":2}`, "}", "", "x", `{"c":{"d":3}}`, "]"})
		base := strings.Join(rapid.SliceOfN(piece, 0, 12).Draw(t, "base"), "")
		data := strings.Join(rapid.SliceOfN(piece, 0, 12).Draw(t, "data"), "")
		got, err := pack.Patch([]byte(base), pack.Diff([]byte(base), []byte(data)))
		require.NoError(t, err)
		require.Equal(t, data, string(got))
	})
}

// TestDiffOfALargeDocumentIsSmall changes, drops and adds one object of many.
func TestDiffOfALargeDocumentIsSmall(t *testing.T) {
	objects := make([]string, 0, 1500)
	for i := range cap(objects) {
		objects = append(objects, fmt.Sprintf(`{"Name":"r-%d","Split":[{"Service":"s","Weight":%d}]}`, i, i%7))
	}
	base := strings.Join(objects, ",")
	objects[700] = `{"Name":"r-700","Service":"other"}`
	objects = append(objects[:200], objects[201:]...)
	objects = append(objects, `{"Name":"r-new"}`)
	data := strings.Join(objects, ",")
	steps := pack.Diff([]byte(base), []byte(data))
	require.LessOrEqual(t, len(steps), 5)
	fresh := 0
	for _, s := range steps {
		fresh += len(s.New)
	}
	require.Less(t, fresh, 100)
	got, err := pack.Patch([]byte(base), steps)
	require.NoError(t, err)
	require.Equal(t, data, string(got))
}

func TestPatchThatDoesNotFitIsRefused(t *testing.T) {
	for _, s := range []pack.Step{{From: -1}, {From: 4}, {Length: -1}, {From: 2, Length: 2}, {From: 1, Length: 1<<63 - 1}} {
		_, err := pack.Patch([]byte("abc"), []pack.Step{s})
		require.Error(t, err)
	}
}
