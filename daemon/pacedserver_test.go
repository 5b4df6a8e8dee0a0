// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/host"
)

// TestPacedServerTakesFewConnectionsAtOnce lets many callers come at the same time
// to a handler that is slow: few are at work at once, and all are answered.
func TestPacedServerTakesFewConnectionsAtOnce(t *testing.T) {
	most := pacedLoad(t, time.Hour, 0)
	require.LessOrEqual(t, most, int64(maxPace))
}

// TestSilentCallersKeepNobodyOut has more callers connect and say nothing than may
// be at work at once.
func TestSilentCallersKeepNobodyOut(t *testing.T) {
	pacedLoad(t, 10*time.Millisecond, 2*maxPace)
}

// pacedLoad has many callers call a paced server at once, after some that say
// nothing, and returns how many of the calls were at work at the same time.
func pacedLoad(t *testing.T, workTime time.Duration, silent int) int64 {
	t.Helper()
	var working, most atomic.Int64
	s := newPacedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n := working.Add(1)
		defer working.Add(-1)
		for old := most.Load(); n > old && !most.CompareAndSwap(old, n); old = most.Load() {
		}
		time.Sleep(2 * time.Millisecond)
		w.WriteHeader(http.StatusNoContent)
	}), time.Minute, newPace())
	s.workTime = workTime
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	for range silent {
		conn, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
	}
	const callers = 200
	answers := make(chan error, callers)
	for i := range callers {
		go func() {
			c := &http.Client{Transport: &http.Transport{}}
			resp, err := c.Get(fmt.Sprintf("http://%s/%d", l.Addr(), i))
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			c.CloseIdleConnections()
			answers <- err
		}()
	}
	for range callers {
		require.NoError(t, <-answers)
	}
	require.NoError(t, s.Close())
	require.ErrorIs(t, <-ended, http.ErrServerClosed)
	return most.Load()
}

// TestWorkerLinesAreBounded notes a thousand workers in one second and a change of
// role: the role is told, and how many lines were not.
func TestWorkerLinesAreBounded(t *testing.T) {
	lines := 0
	var last string
	l := newNoteLog(funcr.New(func(_, args string) { lines, last = lines+1, args }, funcr.Options{}))
	now := time.Unix(100, 0)
	l.now = func() time.Time { return now }
	for range 1000 {
		l.observe(host.LogRecord{Kind: host.LogWorkerRegistration, Object: "w"})
	}
	l.observe(host.LogRecord{Kind: host.LogReplicaRole, Object: "r"})
	require.Equal(t, workerLines+1, lines)
	require.Contains(t, last, "replica role")
	now = now.Add(time.Second)
	l.observe(host.LogRecord{Kind: host.LogWorkerRegistration, Object: "w"})
	require.Equal(t, workerLines+3, lines)
}

// TestPaceFollowsTheTicks lets ticks come late and then in time: fewer connections are
// at work, and more again.
func TestPaceFollowsTheTicks(t *testing.T) {
	p := newPace()
	require.False(t, p.short())
	for range 10 {
		p.ticked(3 * lateTick)
	}
	require.Equal(t, minPace, p.gate.Limit())
	require.True(t, p.short())
	p.ticked(lateTick)
	require.Equal(t, minPace, p.gate.Limit(), "neither late nor in time")
	for range maxPace {
		p.ticked(0)
	}
	require.False(t, p.short())
}

// TestNoMoreWaitThanAreAcceptedInTime accepts few and many connections a second while
// the processor is short, and then while it is not.
func TestNoMoreWaitThanAreAcceptedInTime(t *testing.T) {
	var b backlog
	now := time.Unix(100, 0)
	accept := func(perSecond int, short bool) int {
		n := 0
		for range perSecond {
			now = now.Add(time.Second / time.Duration(perSecond))
			n, _ = b.accepted(now, short)
		}
		return n
	}
	for perSecond, want := range map[int]int{20: minBacklog, 100: 40, 10_000: maxBacklog} {
		accept(perSecond, true)
		require.InDelta(t, want, accept(perSecond, true), 2, "%d a second", perSecond)
	}
	accept(100, false)
	require.Equal(t, maxBacklog, accept(100, false))
}
