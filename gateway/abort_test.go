// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// TestRestartedWorkerFailsItsRequest guards against a caller that waits until its deadline for
// a worker process that is gone, and against reporting its request as not run: the worker stops
// responding and registers with a new incarnation.
func TestRestartedWorkerFailsItsRequest(t *testing.T) {
	address, got, _ := silentWorker(t)
	b := newTestbed(t, 0)
	w := registry.Worker{ID: "w", Pool: "pool", Address: address, Slots: 1, Seq: 1, Born: 1_790_000_000_000}
	b.core.Decide(requests.Registered{Workers: []registry.Worker{w}})
	go func() {
		<-got
		w.Born++
		for _, d := range b.core.Decide(requests.Registered{Workers: []registry.Worker{w}}) {
			if off, ok := d.(requests.AbortAttempt); ok {
				b.server.AbortAttempt(off)
			}
		}
	}()
	status, _, _, err := b.call("/unsafe/x", "body")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, status, "503 would guarantee that the request did not run")
}
