// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon_test

import (
	"os"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/host"
)

// TestCountersPageNamesAllCounters keeps the operators' page complete.
func TestCountersPageNamesAllCounters(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/counters.md")
	require.NoError(t, err)
	fields := reflect.TypeFor[host.Counters]()
	for i := range fields.NumField() {
		name := fields.Field(i).Name
		if tag := fields.Field(i).Tag.Get("json"); tag != "" {
			name = tag
		}
		require.Contains(t, string(page), "core."+name)
	}
}
