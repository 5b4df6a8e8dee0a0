// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package formtest_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/formtest"
)

type inner struct{ Names []string }

type sample struct {
	Number int
	Yes    bool
	At     time.Time
	Inner  *inner
	Any    any
	hidden int
}

func TestEveryExportedFieldIsFilled(t *testing.T) {
	choose := func(reflect.Type) any { return inner{} }
	v := formtest.Filled(reflect.TypeFor[sample](), choose).Interface().(sample)
	require.NotZero(t, v.Number)
	require.True(t, v.Yes)
	require.False(t, v.At.IsZero())
	require.NotEmpty(t, v.Inner.Names[0])
	require.NotEmpty(t, v.Any.(inner).Names[0])
	require.Zero(t, v.hidden)
	require.Equal(t, v, formtest.Filled(reflect.TypeFor[sample](), choose).Interface())
}

func TestGoldenRecordsStayAsFirstWritten(t *testing.T) {
	g := formtest.Golden{}.With("a", []byte{1, 2}).With("b", nil).With("a", []byte{3})
	read, err := formtest.Parse(g.String())
	require.NoError(t, err)
	require.Equal(t, []byte{1, 2}, read["a"])
	require.Equal(t, "a 0102\nb \n", read.String())
	_, err = formtest.Parse("a xyz\n")
	require.Error(t, err)
}

func TestKeysArePaths(t *testing.T) {
	keys, err := formtest.Keys([]byte(`{"a":[{"b":1},{"c":{"d":null}}]}`))
	require.NoError(t, err)
	require.Equal(t, []string{".a", ".a[].b", ".a[].c", ".a[].c.d"}, keys)
}

func form(want any) formtest.Form {
	return formtest.Form{
		Name: "a", Want: want,
		Encode: func() ([]byte, error) { return []byte{1}, nil },
		Decode: func(record []byte) (any, error) { return int(record[0]), nil },
	}
}

func TestCheckFindsWhatNoLongerReads(t *testing.T) {
	text, err := formtest.Check("", true, []formtest.Form{form(1)})
	require.NoError(t, err)
	_, err = formtest.Check(text, false, []formtest.Form{form(1)})
	require.NoError(t, err)
	_, err = formtest.Check(text, false, []formtest.Form{form(2)})
	require.ErrorContains(t, err, "golden bytes hold 1")
	_, err = formtest.Check(text, false, nil)
	require.ErrorContains(t, err, "1 records for 0 forms")
	_, err = formtest.Check("", false, []formtest.Form{form(1)})
	require.ErrorContains(t, err, "no golden bytes")
}
