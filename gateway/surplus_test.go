// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/standin"
)

var surplusFaults = map[string]standin.WorkerFault{
	"503": standin.SurplusFull, "429": standin.SurplusLimited, "408": standin.SurplusTimeout, "400": standin.SurplusInvalid,
	"421": standin.SurplusMisdirected, "empty id": standin.SurplusEmptyID, "after an interim response": standin.SurplusInterim,
	"200": standin.SurplusUnsigned,
}

// promisesNotRun are the statuses that say that a request did not run.
var promisesNotRun = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// TestSurplusDeclineWithoutIDEndsNoRequest guards against telling a caller that a request has not run, or running it
// twice, because of a response without an id that belongs to no request.
func TestSurplusDeclineWithoutIDEndsNoRequest(t *testing.T) {
	for name, fault := range surplusFaults {
		for _, path := range []string{"/unsafe/x", "/patient/x", "/stream/once/x"} {
			t.Run(name+path, func(t *testing.T) {
				b := newTestbed(t, 1)
				for range 3 {
					b.warm(path, fault)
					before := b.runs()
					status, text, _, err := b.call(path, "body")
					require.NoError(t, err)
					require.NotContains(t, promisesNotRun, status, text)
					require.Equal(t, before+1, b.runs())
					status, text, _, err = b.call(path, "body")
					require.NoError(t, err)
					require.Equal(t, http.StatusOK, status, "the worker goes on serving: %s", text)
				}
			})
		}
	}
}

// TestSurplusResponseFailsNoRepeatableRequest guards against failing a request that may be repeated because of such a
// response.
func TestSurplusResponseFailsNoRepeatableRequest(t *testing.T) {
	for name, fault := range surplusFaults {
		for _, path := range []string{"/safe/x", "/stream/again/x"} {
			t.Run(name+path, func(t *testing.T) {
				b := newTestbed(t, 2)
				b.warm(path, fault)
				for range 6 {
					status, text, _, err := b.call(path, "body")
					require.NoError(t, err)
					require.Equal(t, http.StatusOK, status, text)
				}
			})
		}
	}
}

// warm has each worker answer a request with a fault.
func (b *testbed) warm(path string, fault standin.WorkerFault) {
	for _, w := range b.workers {
		w.Next(fault)
		for asked := w.Asked(); w.Asked() == asked; {
			status, text, _, err := b.call(path, "warm")
			require.NoError(b.t, err)
			require.Equal(b.t, http.StatusOK, status, text)
		}
	}
}

// TestAnswerBehindSurplusResponseIsDelivered guards against dropping the answer to a request that must not run
// twice because of the surplus response ahead of it.
func TestAnswerBehindSurplusResponseIsDelivered(t *testing.T) {
	b := newTestbed(t, 1)
	for range 3 {
		b.next(standin.SurplusFull)
		_, _, _, err := b.call("/patient/x", "warm")
		require.NoError(t, err)
		status, text, _, err := b.call("/patient/x", "body")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, text)
		require.Equal(t, standin.WorkerBody, text)
	}
	require.Equal(t, 6, b.runs())
}

// TestNoticeInSurplusResponseIsBelieved guards against new requests to a worker that has said that it leaves in a response
// that cannot be matched.
func TestNoticeInSurplusResponseIsBelieved(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/stream/once/x"} {
		b := newTestbed(t, 2)
		leaving := b.workers[0]
		b.warm(path, standin.Sound)
		leaving.Next(standin.SurplusLeaving)
		// The request after the next one finds the notice.
		for asked := leaving.Asked(); leaving.Asked() < asked+2; {
			_, _, _, err := b.call(path, "body")
			require.NoError(t, err)
		}
		asked := leaving.Asked()
		for range 20 {
			status, text, _, err := b.call(path, "body")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status, text)
		}
		require.Equal(t, asked, leaving.Asked())
	}
}

// TestDeclineWithoutIDOnNewConnectionIsBelieved guards against failing a request that did not run because the worker
// declines without its id, where no other request can have been meant.
func TestDeclineWithoutIDOnNewConnectionIsBelieved(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/stream/once/x"} {
		b := newTestbed(t, 1)
		b.next(standin.UnidentifiedFull)
		status, _, _, err := b.call(path, "body")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.Zero(t, b.runs())
	}
}

// TestWorkerThatOmitsIDsIsServedOverSingleUseConnections guards against failing one request after another because a
// worker declines without their ids.
func TestWorkerThatOmitsIDsIsServedOverSingleUseConnections(t *testing.T) {
	b := newTestbed(t, 1)
	b.warm("/hasty/x", standin.Sound)
	b.next(standin.UnidentifiedFull)
	status, _, _, err := b.call("/hasty/x", "body")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, status)
	for range 3 {
		b.warm("/patient/x", standin.Sound)
		b.next(standin.UnidentifiedFull)
		status, text, _, err := b.call("/patient/x", "body")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, "sent again after a decline that is believed: %s", text)
	}
	require.GreaterOrEqual(t, b.workers[0].Opened(), b.workers[0].Asked()-1, "only the first connection carried two requests")
}

// TestDeclineWithoutIDOnKeptConnectionPromisesNothing guards against a promise about a request whose decline cannot be
// told from a surplus one, and against waiting for an answer behind it for longer than the route's objective.
func TestDeclineWithoutIDOnKeptConnectionPromisesNothing(t *testing.T) {
	for _, fault := range []standin.WorkerFault{standin.UnidentifiedFull, standin.UnidentifiedTwice} {
		b := newTestbed(t, 1)
		b.warm("/hasty/x", standin.Sound)
		before := b.runs()
		b.next(fault)
		start := time.Now()
		status, _, _, err := b.call("/hasty/x", "body")
		require.NoError(t, err)
		require.Equal(t, http.StatusBadGateway, status)
		require.Less(t, time.Since(start), time.Second, "the deadline is 2 s, the objective 0.1 s")
		require.Equal(t, before, b.runs())
	}
}
