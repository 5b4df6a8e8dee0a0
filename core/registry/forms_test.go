// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package registry_test

import (
	"encoding/hex"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/formtest"
	"github.com/yardhall/yardhall/core/registry"
)

// packedWorkers is a list of one worker, each field filled, as the program packed it
// that first sent registrations.
const packedWorkers = "0081a701627331026273320362733304627334050506060707"

func TestPackedWorkersOfEarlierProgramsAreRead(t *testing.T) {
	want := formtest.Filled(reflect.TypeFor[[]registry.Worker](), nil).Interface().([]registry.Worker)
	record, err := hex.DecodeString(packedWorkers)
	require.NoError(t, err)
	got, err := registry.Unpack(record)
	require.NoError(t, err)
	require.Equal(t, want, got, "packed today: %x", registry.Pack(want))
}
