// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/standin"
)

// TestStreamsThatEndWithTheirConnection guards against taking a stream without length or chunks for broken when
// it is whole, and for whole when it ends within an event.
func TestStreamsThatEndWithTheirConnection(t *testing.T) {
	for _, path := range []string{"/stream/again/x", "/stream/once/x"} {
		b := newTestbed(t, 2)
		b.next(standin.UnframedStream)
		status, text, _, err := b.call(path, "")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, completeStream(), text)
		require.Equal(t, 1, b.runs())
	}

	b := newTestbed(t, 2)
	b.next(standin.UnframedCut)
	status, text, _, err := b.call("/stream/again/x", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, completeStream(), text, "it goes on at the other worker")
	require.Equal(t, 2, b.runs())

	b = newTestbed(t, 2)
	b.next(standin.UnframedCut)
	_, text, _, err = b.call("/stream/once/x", "")
	require.Error(t, err, "a stream that was broken off does not look complete")
	require.Equal(t, standin.WorkerEvent(1)+standin.WorkerEvent(2), text)
	require.Equal(t, 1, b.runs())
}
