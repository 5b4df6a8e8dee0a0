// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/origins"
	"github.com/yardhall/yardhall/storage"
)

// TestReportedOriginsAreWritten guards against a replica that forgets with its process which version began a stream.
func TestReportedOriginsAreWritten(t *testing.T) {
	dir := t.TempDir()
	report := origins.Report{}.With(origins.Origin{Service: "drafter", Version: "v1"}, origins.KeyOf("first"))
	_, w := withOrigins(host.State{}, Options{Log: logr.Discard()}, dir, time.Now(), time.Now())
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- w.run(ctx) }()
	w.put(report)
	require.Eventually(t, func() bool {
		l, reports, err := storage.OpenOrigins(dir, nil)
		require.NoError(t, err)
		require.NoError(t, l.Close())
		return len(reports) == 1 && assert.ObjectsAreEqual(report, reports[0].Report)
	}, time.Minute, time.Millisecond)
	stop()
	require.NoError(t, <-ended)
}
