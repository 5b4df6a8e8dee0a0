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
	forms := make([]formtest.Form, 0, 4)
	for suffix, leftOut := range map[string][]string{"": {"ColdPerSecond"}, "-cold": nil} {
		table := formtest.Filled(reflect.TypeFor[config.RouteTable](), nil, leftOut...).Interface().(config.RouteTable)
		delta := formtest.Filled(reflect.TypeFor[config.RouteTableDelta](), nil, leftOut...).Interface().(config.RouteTableDelta)
		forms = append(forms, formtest.Form{
			Name: "table" + suffix, Want: table.WithoutSource(),
			Encode: func() ([]byte, error) { return table.Packed(), nil },
			Decode: func(record []byte) (any, error) { return config.UnpackRouteTable(record) },
		}, formtest.Form{
			Name: "delta" + suffix, Want: delta,
			Encode: func() ([]byte, error) { return delta.Packed(), nil },
			Decode: func(record []byte) (any, error) { return config.UnpackRouteTableDelta(record) },
		})
	}
	all, err := formtest.Check(string(text), *addForms, forms)
	require.NoError(t, err)
	if *addForms {
		require.NoError(t, os.WriteFile(packedGolden, []byte(all), 0o600))
	}
}
