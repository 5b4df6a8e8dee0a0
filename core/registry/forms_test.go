// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package registry_test

import (
	"encoding/hex"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/formtest"
	"github.com/yardhall/yardhall/core/pack"
	"github.com/yardhall/yardhall/core/registry"
)

// Lists of one worker, each field filled: as the program packed it that first sent
// registrations, with the start of the worker's process, with its cold time, and with its version.
const (
	packedWorkers            = "0081a701627331026273320362733304627334050506060707"
	packedWorkersWithBorn    = "0081a8016273310262733203627333046273340505060607070808"
	packedWorkersWithCold    = "0081a90162733102627332036273330462733405050606070708080909"
	packedWorkersWithVersion = "0081aa01627331026273320362733304627334050506060707080809090a63733130"
)

func TestPackedWorkersOfEarlierProgramsAreRead(t *testing.T) {
	want := formtest.Filled(reflect.TypeFor[[]registry.Worker](), nil).Interface().([]registry.Worker)
	require.Equal(t, want, unpacked(t, packedWorkersWithVersion), "packed today: %x", registry.Pack(want))
	want[0].Version = ""
	require.Equal(t, want, unpacked(t, packedWorkersWithCold))
	want[0].Cold = 0
	require.Equal(t, want, unpacked(t, packedWorkersWithBorn))
	want[0].Born = 0
	require.Equal(t, want, unpacked(t, packedWorkers))
}

// TestEarlierProgramsReadPastTheStart reads what is packed today into the form of before.
func TestEarlierProgramsReadPastTheStart(t *testing.T) {
	type before struct {
		ID  string `cbor:"1,keyasint"`
		Seq uint64 `cbor:"7,keyasint,omitempty"`
	}
	record, err := pack.Unpack(registry.Pack([]registry.Worker{process(bornFirst, 7, registry.Ready)}))
	require.NoError(t, err)
	var got []before
	require.NoError(t, cbor.Unmarshal(record, &got))
	require.Equal(t, []before{{ID: "w", Seq: 7}}, got)
}

func unpacked(t *testing.T, text string) []registry.Worker {
	t.Helper()
	record, err := hex.DecodeString(text)
	require.NoError(t, err)
	got, err := registry.Unpack(record)
	require.NoError(t, err)
	return got
}
