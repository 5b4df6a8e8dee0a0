// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package crashes_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/crashes"
)

// TestContentIsOfOneCaller keeps callers apart, and the borders of parts.
func TestContentIsOfOneCaller(t *testing.T) {
	one := crashes.ContentOf("halls", []byte("ab"), []byte("c"))
	require.Equal(t, one, crashes.ContentOf("halls", []byte("ab"), []byte("c")))
	require.Len(t, one.String(), 32)
	require.NotEqual(t, one, crashes.ContentOf("tills", []byte("ab"), []byte("c")))
	require.NotEqual(t, one, crashes.ContentOf("halls", []byte("a"), []byte("bc")))
	require.Empty(t, crashes.ContentOf("halls"), "nothing is known of the request")
}
