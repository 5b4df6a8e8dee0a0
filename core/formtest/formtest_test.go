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
