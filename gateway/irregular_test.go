// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/gateway"
	"github.com/yardhall/yardhall/standin"
)

// TestIrregularResponsesAreReported guards against workers that misbehave without a trace in logs and metrics.
func TestIrregularResponsesAreReported(t *testing.T) {
	for kind, fault := range map[gateway.IrregularKind]standin.WorkerFault{
		gateway.SurplusBytes: standin.Extra, gateway.ForeignResponse: standin.LateFirst, gateway.UnidentifiedResponse: standin.SurplusFull,
		gateway.LongHeader: standin.EndlessHeader, gateway.LongBody: standin.EndlessBody,
	} {
		t.Run(string(kind), func(t *testing.T) {
			b := newTestbed(t, 1)
			b.next(fault)
			for range 2 {
				_, _, _, err := b.call("/unsafe/x", "body")
				require.NoError(t, err)
			}
			require.NotNil(t, b.irregular.Get(string(kind)))
			require.Equal(t, "1", b.irregular.Get(string(kind)).String())
		})
	}
}
