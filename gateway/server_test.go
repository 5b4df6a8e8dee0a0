// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway_test

import (
	"bufio"
	"context"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/common/keys"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/confirmation"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
	"github.com/yardhall/yardhall/gateway"
	"github.com/yardhall/yardhall/standin"
)

var names = gateway.DefaultHeaders()

func workerNames() standin.WorkerHeaders {
	return standin.WorkerHeaders{
		RequestID: names.RequestID, Expect: names.ExpectedWorker, Instance: names.WorkerID, NotRun: names.NotRun,
		Leaving: names.Leaving, Signature: names.Signature, Load: names.Load, LastEvent: names.LastEventID,
	}
}

// fakeCore implements gateway.Core by the state machine of core/requests, without an event loop.
type fakeCore struct {
	mu    sync.Mutex
	state requests.State
}

func (c *fakeCore) Decide(ev requests.Event) []requests.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	next, decisions := requests.Reduce(c.state, ev, time.Now())
	c.state = next
	var out []requests.Decision
	for _, d := range decisions {
		if _, logOnly := d.(requests.WorkerChanged); !logOnly {
			out = append(out, d)
		}
	}
	return out
}

// Await implements gateway.Core. It is not called, as no request waits for the host's startup.
func (c *fakeCore) Await(context.Context, ident.Request) requests.Decision { return nil }

func (c *fakeCore) Limits() config.Limits { return config.Limits{MaxBodyBytes: 1 << 16} }
func (c *fakeCore) Draining() bool        { return false }

const callerKey = "a caller's key"

// testbed simulates an entry host with a number of workers.
type testbed struct {
	t       *testing.T
	url     string
	core    *fakeCore
	pool    *gateway.Pool
	server  *gateway.Server
	workers []*standin.Worker
	number  int
	// irregular counts irregular responses by kind.
	irregular *expvar.Map
}

func newTestbed(t *testing.T, workers int) *testbed {
	second := config.Duration(2 * time.Second)
	shares := []config.Share{{Pool: "pool", Weight: 1}}
	table := config.RouteTable{
		Number: 1, Pools: []config.Pool{{ID: "pool"}},
		Routes: []config.Route{
			{Host: "a.example", Prefix: "/safe/", Kind: config.RouteSafe, Timeout: second, MaxAttempts: 2, Shares: shares},
			{Host: "a.example", Prefix: "/unsafe/", Kind: config.RouteUnsafe, Timeout: second, MaxAttempts: 2, Shares: shares},
			{Host: "a.example", Prefix: "/short/", Kind: config.RouteUnsafe, Timeout: second / 8, MaxAttempts: 1, Shares: shares},
			{Host: "a.example", Prefix: "/patient/", Kind: config.RouteUnsafe, Timeout: second, Objective: second, MaxAttempts: 1, Shares: shares},
			{Host: "a.example", Prefix: "/hasty/", Kind: config.RouteUnsafe, Timeout: second, Objective: second / 20, MaxAttempts: 1, Shares: shares},
			{Host: "a.example", Prefix: "/stream/once/", Kind: config.RouteStream, Timeout: second, MaxAttempts: 2, Shares: shares},
			{Host: "a.example", Prefix: "/stream/again/", Kind: config.RouteStream, Resumable: true, Timeout: second, MaxAttempts: 2, Shares: shares},
		},
		Keys: []config.KeyOwner{{Account: "halls", KeyHashes: []string{keys.Hash(callerKey)}}},
	}
	b := &testbed{t: t, core: &fakeCore{}, pool: gateway.NewPool(nil, nil), irregular: new(expvar.Map).Init()}
	b.core.state = requests.New(requests.Settings{KeyLease: time.Hour}).WithRouteTable(table).WithHostCount(1)
	registered := make([]registry.Worker, 0, workers)
	for i := range workers {
		w, err := standin.StartWorker("127.0.0.1:0", fmt.Sprintf("w%d", i), workerNames())
		require.NoError(t, err)
		t.Cleanup(w.Stop)
		b.workers = append(b.workers, w)
		registered = append(registered, registry.Worker{ID: ident.Target(w.ID), Pool: "pool", Address: w.Address(), Slots: 4, Seq: 1})
	}
	b.core.Decide(requests.Registered{Workers: registered})
	b.core.Decide(requests.Confirmed{Confirmation: confirmation.At(time.Now())})
	b.server = gateway.NewServer(gateway.Deps{
		Core: b.core, Pool: b.pool, Headers: names,
		ObserveIrregular: func(i gateway.Irregularity) { b.irregular.Add(string(i.Kind), 1) },
	})
	server := httptest.NewServer(b.server)
	t.Cleanup(server.Close)
	t.Cleanup(b.pool.Close)
	b.url = server.URL
	return b
}

// runs returns the number of requests that the workers ran.
func (b *testbed) runs() int {
	n := 0
	for _, w := range b.workers {
		n += len(w.Runs())
	}
	return n
}

// next sets the faults of the next requests of every worker.
func (b *testbed) next(faults ...standin.WorkerFault) {
	for _, w := range b.workers {
		w.Next(faults...)
	}
}

func (b *testbed) request(ctx context.Context, path, body string) *http.Request {
	b.number++
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
	}
	r, err := http.NewRequestWithContext(ctx, method, b.url+path, strings.NewReader(body))
	require.NoError(b.t, err)
	r.Host = "a.example"
	r.Header.Set(names.RequestID, fmt.Sprintf("request-%d", b.number))
	r.Header.Set("Authorization", "Bearer "+callerKey)
	return r
}

// call sends a request and reads the response; err is set if the response is incomplete.
func (b *testbed) call(path, body string) (status int, text string, head http.Header, err error) {
	resp, err := http.DefaultTransport.RoundTrip(b.request(b.t.Context(), path, body))
	if err != nil {
		return 0, "", nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(got), resp.Header, err
}

func completeStream() string {
	var s strings.Builder
	for n := 1; n <= standin.WorkerEvents; n++ {
		s.WriteString(standin.WorkerEvent(n))
	}
	return s.String()
}

func TestRequestReachesTheWorkerUnchanged(t *testing.T) {
	b := newTestbed(t, 1)
	r := b.request(t.Context(), "/unsafe/a%2Fb/?q=1&q=2", "the body")
	r.Header.Set("X-Own", "kept")
	r.Header.Set(names.Account, "forged")
	resp, err := http.DefaultTransport.RoundTrip(r)
	require.NoError(t, err)
	_ = resp.Body.Close()
	run := b.workers[0].Runs()[0]
	require.Equal(t, "/unsafe/a%2Fb/?q=1&q=2", run.Path)
	require.Equal(t, "the body", run.Body)
	require.Equal(t, http.MethodPost, run.Method)
	require.Equal(t, "kept", run.Header.Get("X-Own"))
	require.Equal(t, "halls", run.Header.Get(names.Account))
	require.Equal(t, "w0", run.Header.Get(names.ExpectedWorker))
	require.Empty(t, run.Header.Get("Authorization"), "the API key is not forwarded")
	require.Equal(t, "stamp-of-w0", resp.Header.Get(names.Signature))
}

// TestResponsesMatchTheirRequest guards against truncated, mixed up and unsigned responses: for
// each fault of a worker, the caller gets the complete response to its own request or an error.
func TestResponsesMatchTheirRequest(t *testing.T) {
	faults := map[string]standin.WorkerFault{
		"full": standin.Full, "cut before the head": standin.CutHead, "cut in the body": standin.CutBody,
		"reset without length": standin.ResetUnframed, "closed without length": standin.Unframed,
		"surplus response": standin.Extra, "late response first": standin.LateFirst, "wrong id": standin.WrongID,
		"unsigned": standin.Unsigned, "failing": standin.Failing,
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 1)
			for range 3 {
				b.next(fault)
				status, text, _, err := b.call("/unsafe/x", "body")
				require.NoError(t, err)
				switch status {
				case http.StatusOK:
					require.Equal(t, standin.WorkerBody, text)
				case http.StatusInternalServerError:
					require.Equal(t, "failed", text)
				default:
					require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusServiceUnavailable}, status)
				}
				status, text, _, err = b.call("/safe/x", "")
				require.NoError(t, err)
				if status == http.StatusOK {
					require.Equal(t, standin.WorkerBody, text)
				}
			}
		})
	}
}

// TestUnsafeRequestRunsAtMostOnce guards against retries of an unsafe request whose response was
// lost after the worker ran it.
func TestUnsafeRequestRunsAtMostOnce(t *testing.T) {
	for _, fault := range []standin.WorkerFault{standin.CutHead, standin.CutBody, standin.WrongID, standin.Unsigned} {
		b := newTestbed(t, 3)
		_, _, _, err := b.call("/unsafe/x", "warm")
		require.NoError(t, err)
		before := b.runs()
		b.next(fault)
		status, _, _, err := b.call("/unsafe/x", "body")
		require.NoError(t, err)
		require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, status,
			"503 would guarantee that the request did not run")
		require.Equal(t, before+1, b.runs())
	}
}

func TestDeclinedRequestIsRetriedOrReportedNotRun(t *testing.T) {
	b := newTestbed(t, 2)
	b.workers[0].Next(standin.Full)
	b.workers[1].Next(standin.Full)
	status, _, head, err := b.call("/unsafe/x", "body")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.NotEmpty(t, head.Get("Retry-After"))
	require.Zero(t, b.runs())
	status, _, _, err = b.call("/unsafe/x", "body")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
}

func TestFailedSafeRequestIsRetriedOnce(t *testing.T) {
	b := newTestbed(t, 2)
	for _, w := range b.workers {
		w.Next(standin.Failing, standin.Sound)
	}
	status, _, _, err := b.call("/safe/x", "")
	require.NoError(t, err)
	// Both workers fail their first request, so the retry fails as well and the worker's own
	// response is returned.
	require.Equal(t, http.StatusInternalServerError, status)
	require.Equal(t, 2, b.runs())
}

// TestRequestIsNotRunByAnotherWorkerAtTheAddress guards against a request that runs at a worker
// other than the selected one, because the address was reassigned.
func TestRequestIsNotRunByAnotherWorkerAtTheAddress(t *testing.T) {
	b := newTestbed(t, 1)
	b.workers[0].ID = "somebody-else"
	status, _, head, err := b.call("/unsafe/x", "body")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.NotEmpty(t, head.Get("Retry-After"))
	require.Zero(t, b.runs())
}

func TestConnectionsAreReused(t *testing.T) {
	b := newTestbed(t, 1)
	for range 20 {
		status, _, _, err := b.call("/unsafe/x", "body")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
	}
	require.Equal(t, 1, b.workers[0].Opened())
}

func TestStreamIsForwardedCompletely(t *testing.T) {
	for _, path := range []string{"/stream/once/x", "/stream/again/x"} {
		b := newTestbed(t, 1)
		status, text, _, err := b.call(path, "body")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, completeStream(), text)
	}
}

// TestOnlyResumableStreamsAreRetried guards against retries of a stream that is not resumable,
// and against repeated or missing events of one that is; the first worker cuts it within an event.
func TestOnlyResumableStreamsAreRetried(t *testing.T) {
	b := newTestbed(t, 2)
	b.workers[0].Next(standin.CutEvent)
	b.workers[1].Next(standin.CutEvent, standin.Sound)
	status, text, _, err := b.call("/stream/once/x", "body")
	require.Equal(t, http.StatusOK, status)
	require.Error(t, err, "a truncated stream must not look complete")
	require.Equal(t, standin.WorkerEvent(1)+standin.WorkerEvent(2), text)
	require.Equal(t, 1, b.runs())

	b = newTestbed(t, 2)
	b.workers[0].Next(standin.CutEvent, standin.Sound)
	b.workers[1].Next(standin.Sound)
	for range 2 {
		status, text, _, err = b.call("/stream/again/x", "body")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, completeStream(), text, "no repeated or missing event")
	}
}

func TestHungRequestTimesOut(t *testing.T) {
	b := newTestbed(t, 1)
	b.next(standin.Hang)
	status, _, _, err := b.call("/short/x", "body")
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, status)
	require.Equal(t, 1, b.runs())
}

func TestOversizedBodyIsRejected(t *testing.T) {
	b := newTestbed(t, 1)
	status, _, _, err := b.call("/unsafe/x", strings.Repeat("x", 1<<17))
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestEntityTooLarge, status)
	require.Zero(t, b.runs())
}

// silentWorker simulates a worker that reads one request and never responds. got is closed once
// it has read the request, closed once the other end has closed the connection.
func silentWorker(t *testing.T) (address string, got, closed chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	got, closed = make(chan struct{}), make(chan struct{})
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(conn)
		if _, err := http.ReadRequest(r); err == nil {
			close(got)
		}
		_, _ = io.Copy(io.Discard, r)
		close(closed)
	}()
	return l.Addr().String(), got, closed
}

// TestCallerDisconnectClosesWorkerConnection guards against workers that continue to process a
// request whose caller has disconnected.
func TestCallerDisconnectClosesWorkerConnection(t *testing.T) {
	address, got, closed := silentWorker(t)
	b := newTestbed(t, 0)
	b.core.Decide(requests.Registered{Workers: []registry.Worker{{ID: "slow", Pool: "pool", Address: address, Slots: 1, Seq: 1}}})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-got
		cancel()
	}()
	_, err := http.DefaultTransport.RoundTrip(b.request(ctx, "/unsafe/x", "body"))
	require.Error(t, err)
	select {
	case <-closed:
	case <-time.After(30 * time.Second):
		t.Fatal("the connection to the worker was not closed")
	}
	require.Eventually(t, func() bool {
		b.core.mu.Lock()
		defer b.core.mu.Unlock()
		return b.core.state.Idle()
	}, 30*time.Second, time.Millisecond)
}

// TestConnectionClosedByWorkerIsNotReused guards against requests that fail on pooled connections
// that the worker has closed.
func TestConnectionClosedByWorkerIsNotReused(t *testing.T) {
	b := newTestbed(t, 1)
	for range 5 {
		status, _, _, err := b.call("/unsafe/x", "body")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		b.next(standin.Unframed)
		_, _, _, err = b.call("/unsafe/x", "body")
		require.NoError(t, err)
	}
	require.Equal(t, 10, b.runs())
}
