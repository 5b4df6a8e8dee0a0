// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/requests"
)

// TestDefaultsOfTheCoreAreThoseOfTheSettings compares the defaults that operators are shown
// with those that the core takes by itself.
func TestDefaultsOfTheCoreAreThoseOfTheSettings(t *testing.T) {
	got := gatewaySettings(replicaDaemon(t).settings)
	require.Equal(t, requests.DefaultKeyLease, got.KeyLease)
	require.InDelta(t, requests.DefaultRetryShare, got.RetryShare, 0)
	require.InDelta(t, requests.DefaultRetryExtra, got.RetryExtra, 0)
	require.InDelta(t, requests.DefaultLoadFactor, got.LoadFactor, 0)
}
