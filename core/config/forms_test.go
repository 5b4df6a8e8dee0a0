// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package config_test

import (
	"flag"
	"os"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/formtest"
)

// addForms adds records that the golden file lacks; it never replaces one.
var addForms = flag.Bool("add-forms", false, "add the forms of new records to the golden file")

const packedGolden = "testdata/packed.golden"

// TestPackedTablesOfEarlierProgramsAreRead decodes a route table and a delta as the
// program packed them that first sent them.
func TestPackedTablesOfEarlierProgramsAreRead(t *testing.T) {
	text, err := os.ReadFile(packedGolden)
	require.True(t, err == nil || *addForms, "%v", err)
	table := formtest.Filled(reflect.TypeFor[config.RouteTable](), nil).Interface().(config.RouteTable)
	delta := formtest.Filled(reflect.TypeFor[config.RouteTableDelta](), nil).Interface().(config.RouteTableDelta)
	all, err := formtest.Check(string(text), *addForms, []formtest.Form{
		{
			Name: "table", Want: table.WithoutSource(),
			Encode: func() ([]byte, error) { return table.Packed(), nil },
			Decode: func(record []byte) (any, error) { return config.UnpackRouteTable(record) },
		},
		{
			Name: "delta", Want: delta,
			Encode: func() ([]byte, error) { return delta.Packed(), nil },
			Decode: func(record []byte) (any, error) { return config.UnpackRouteTableDelta(record) },
		},
	})
	require.NoError(t, err)
	if *addForms {
		require.NoError(t, os.WriteFile(packedGolden, []byte(all), 0o600))
	}
}
