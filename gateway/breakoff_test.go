// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// TestWorkerThatStartedAgainHoldsNoRequest has a worker fall silent after it took a request,
// as behind a cut, and start again under its id: the caller has its answer long before the
// deadline, and it does not say that the request did not run.
func TestWorkerThatStartedAgainHoldsNoRequest(t *testing.T) {
	address, got, _ := silentWorker(t)
	b := newBench(t, 0)
	w := registry.Worker{ID: "w", Pool: "pool", Address: address, Slots: 1, Seq: 1, Born: 1_790_000_000_000}
	b.core.Decide(requests.Registered{Workers: []registry.Worker{w}})
	go func() {
		<-got
		w.Born++
		for _, d := range b.core.Decide(requests.Registered{Workers: []registry.Worker{w}}) {
			if off, ok := d.(requests.BreakOff); ok {
				b.server.AbortAttempt(off)
			}
		}
	}()
	status, _, _, err := b.call("/unsafe/x", "body")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, status, "what may have run is no promise")
}
