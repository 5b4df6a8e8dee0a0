// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package crashes_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/crashes"
)

// TestContentDependsOnCallerAndParts guards against equal contents for different callers, or for
// the same bytes split into parts differently.
func TestContentDependsOnCallerAndParts(t *testing.T) {
	one := crashes.ContentOf("halls", []byte("ab"), []byte("c"))
	require.Equal(t, one, crashes.ContentOf("halls", []byte("ab"), []byte("c")))
	require.Len(t, one.String(), 32)
	require.NotEqual(t, one, crashes.ContentOf("tills", []byte("ab"), []byte("c")))
	require.NotEqual(t, one, crashes.ContentOf("halls", []byte("a"), []byte("bc")))
	require.Empty(t, crashes.ContentOf("halls"), "a request of unknown content")
}
