// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway_test

import (
	"net/http"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/standin"
)

// TestLateCopyOfAnAnswerEndsNoLaterTry guards against taking the copy of a worker's answer to an earlier try
// of a request, which bears the same id, for the answer to a later try: the request would be refused
// although it runs, or would run twice.
func TestLateCopyOfAnAnswerEndsNoLaterTry(t *testing.T) {
	for name, faults := range map[string][]standin.WorkerFault{
		"503":                  {standin.FullTwice},
		"429":                  {standin.LimitedTwice},
		"503 without id":       {standin.UnidentifiedTwice},
		"two declines":         {standin.FullTwice, standin.FullTwice},
		"two kinds":            {standin.LimitedTwice, standin.FullTwice},
		"second without id":    {standin.FullTwice, standin.UnidentifiedTwice},
		"declined once, twice": {standin.Full, standin.FullTwice},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 1)
			for range 3 {
				status, _, _, err := b.call("/patient/x", "warm")
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, status)
				if slices.Contains(faults, standin.UnidentifiedTwice) {
					// A decline without an id is believed on a connection without earlier requests.
					b.pool.Close()
				}
				before := b.runs()
				b.next(faults...)
				status, text, _, err := b.call("/patient/x", "body")
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, status, text)
				require.Equal(t, standin.WorkerBody, text)
				require.Equal(t, before+1, b.runs())
			}
		})
	}
}

// TestLateCopyEndsNoOtherRequest guards against taking such a copy for the answer to another request that
// uses the connection next.
func TestLateCopyEndsNoOtherRequest(t *testing.T) {
	for name, fault := range map[string]standin.WorkerFault{
		"503": standin.FullTwice, "429": standin.LimitedTwice, "503 without id": standin.UnidentifiedTwice, "200": standin.UnsignedTwice,
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 1)
			for range 3 {
				b.next(fault)
				_, _, _, err := b.call("/short/x", "body")
				require.NoError(t, err)
				before := b.runs()
				status, text, _, err := b.call("/unsafe/x", "body")
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, status, text)
				require.Equal(t, standin.WorkerBody, text)
				require.Equal(t, before+1, b.runs())
			}
		})
	}
}
