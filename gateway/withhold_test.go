// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
	"github.com/yardhall/yardhall/gateway"
)

// slowDial is how long a connection takes to open in the test below, a fraction of the dial timeout.
const slowDial = 100 * time.Millisecond

// TestWorkerThatLeavesDuringADialGetsNothing guards against a request to a worker that began to leave between
// its choice and the first byte, while a connection was being opened.
func TestWorkerThatLeavesDuringADialGetsNothing(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/once/x", "/stream/again/x"} {
		t.Run(path, func(t *testing.T) {
			b := newTestbed(t, 2)
			dialed := map[string]bool{}
			pool := gateway.NewPool(nil, func(dial gateway.DialFunc) gateway.DialFunc {
				return func(ctx context.Context, network, address string) (net.Conn, error) {
					if len(dialed) == 0 {
						b.leave(address)
						time.Sleep(slowDial)
					}
					dialed[address] = true
					return dial(ctx, network, address)
				}
			})
			t.Cleanup(pool.Close)
			server := httptest.NewServer(gateway.NewServer(gateway.Deps{Core: b.core, Pool: pool, Headers: names}))
			t.Cleanup(server.Close)
			b.url = server.URL
			status, _, _, err := b.call(path, "body")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			require.Len(t, dialed, 2)
			require.Equal(t, 1, b.runs())
			require.EqualValues(t, 1, b.core.state.Counters().Withheld)
			for _, w := range b.workers {
				known, _ := b.core.state.Worker(ident.Target(w.ID))
				require.Equal(t, known.State == registry.Ready, w.Asked() == 1, "%s is %s", w.ID, known.State)
			}
		})
	}
}

// leave registers the worker at an address as leaving.
func (b *testbed) leave(address string) {
	for _, w := range b.workers {
		if w.Address() == address {
			known, _ := b.core.state.Worker(ident.Target(w.ID))
			known.State, known.Seq = registry.Draining, known.Seq+1
			b.core.Decide(requests.Registered{Workers: []registry.Worker{known}})
		}
	}
}
