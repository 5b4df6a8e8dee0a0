// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package config_test

import (
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/formtest"
)

// TestSubjectsOfStoredAuditTrailsStay holds the names that audit trails on disk use, in
// the order of the changes' tags.
func TestSubjectsOfStoredAuditTrailsStay(t *testing.T) {
	want := []string{
		"PutAccount account/s1", "DeleteAccount account/s1", "PutClass class/s1", "DeleteClass class/s1",
		"PutService service/s1", "DeleteService service/s1", "PutModel model/s1", "DeleteModel model/s1",
		"PutTarget target/s1", "DeleteTarget target/s1", "PutHost host/s1", "DeleteHost host/s1",
		"PutIntent intent/s1", "DeleteIntent intent/s1", "PutHandOver handover/s1/s2", "SetModels target/s1",
		"PutGateway gateway", "PatchGateway gateway",
	}
	types := config.Types()
	require.Len(t, types, len(want))
	for i, v := range types {
		change := formtest.Filled(reflect.TypeOf(v), nil).Interface().(config.Change)
		subject := config.SubjectOf(change)
		require.Equal(t, want[i], subject.Action+" "+subject.Object())
	}
}
