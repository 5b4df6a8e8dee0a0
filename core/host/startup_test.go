// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package host_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// startupLines collects the lines on starts by host.
func (f *seededFleet) startupLines() map[ident.Host][]string {
	lines := map[ident.Host][]string{}
	f.onLog = func(id ident.Host, r host.LogRecord) {
		if r.Kind == host.LogStartup {
			lines[id] = append(lines[id], r.Detail)
		}
	}
	return lines
}

// restartAllExcept stops all processes and starts them, but for those that are left out.
func (f *seededFleet) restartAllExcept(excluded ...ident.Host) {
	for _, id := range f.order {
		f.stop(id)
	}
	f.wire, f.inTransit = nil, nil
	f.run(time.Second)
	for _, id := range f.order {
		if !slices.Contains(excluded, id) {
			f.start(id)
		}
	}
}

// passAnswer sends a request and reports that a worker has answered it.
func (f *seededFleet) passAnswer(at ident.Host) {
	sent, ok := f.sendRequest(at, "/x/1", "k").(requests.Dispatch)
	require.True(f.t, ok)
	f.reduce(at, host.RequestEvent{Event: requests.AttemptEnded{
		Request: sent.Request, Attempt: sent.Attempt, Result: outcome.Answered{Status: 200}, CallerWaiting: true,
	}})
}

// TestStartupIsLoggedOnceItIsComplete guards against a start of which the log does not say when it reached what.
func TestStartupIsLoggedOnceItIsComplete(t *testing.T) {
	f := newSeededFleet(t, 3, 2)
	f.run(5 * time.Second)
	f.putTable(f.leader(), f.table(1, "k"), 3*time.Second)
	lines := f.startupLines()
	f.restartAllExcept()
	f.sendHeartbeat(replicaName(0), "w", registry.Ready, 1)
	f.run(10 * time.Second)
	for i := range 3 {
		m := f.states[replicaName(i)].Counters().Startup
		require.Positive(t, m.Leader)
		require.GreaterOrEqual(t, m.Table, time.Duration(1))
		require.Len(t, lines[replicaName(i)], 1)
	}
	for i := range 2 {
		m := f.states[entryName(i)].Counters().Startup
		require.Positive(t, m.Leader)
		require.GreaterOrEqual(t, m.Ready, m.Table)
		require.GreaterOrEqual(t, m.Ready, m.Leader)
		require.Len(t, lines[entryName(i)], 1)
		require.Regexp(t, `^serves=true after=\S+ leader=\S+ table=\S+ target=\S+ ready=\S+$`, lines[entryName(i)][0])
	}
}

// TestStartupSaysWhatIsMissing guards against logs that cannot tell apart replicas without a quorum and hosts without a
// route table or a confirmation.
func TestStartupSaysWhatIsMissing(t *testing.T) {
	f := newSeededFleet(t, 3, 2)
	f.run(5 * time.Second)
	f.putTable(f.leader(), f.table(1, "k"), 3*time.Second)
	lines := f.startupLines()
	f.restartAllExcept(replicaName(1), replicaName(2))
	f.run(25 * time.Second)
	require.Len(t, lines[replicaName(0)], 3, "after 5, 10 and 20 s")
	require.Regexp(t, `missing: no leader: role=pre-candidate term=\d+ voter=true votes=1 refusals=0 voters=3 members=3`, lines[replicaName(0)][0])
	require.Regexp(t, `missing: no confirmation: polls=[1-9]\d* contacts=\d+ replied=1$`, lines[entryName(0)][0])
}

// TestStartupWithoutTable guards against a fleet that was never configured and does not say so.
func TestStartupWithoutTable(t *testing.T) {
	f := newSeededFleet(t, 3, 2)
	lines := f.startupLines()
	f.run(6 * time.Second)
	require.Len(t, lines[entryName(0)], 1)
	require.Regexp(t, `^serves=true after=\S+ leader=\S+ missing: no route table$`, lines[entryName(0)][0])
}

// TestFirstAnswerIsLogged guards against a start whose first answer is not known.
func TestFirstAnswerIsLogged(t *testing.T) {
	f := newSeededFleet(t, 3, 1)
	f.run(5 * time.Second)
	f.putTable(f.leader(), f.table(1, "k"), 3*time.Second)
	f.sendHeartbeat(replicaName(0), "w", registry.Ready, 1)
	f.run(3 * time.Second)
	lines := f.startupLines()
	f.passAnswer(entryName(0))
	f.passAnswer(entryName(0))
	require.Len(t, lines[entryName(0)], 1)
	require.Regexp(t, `ready=\S+ answer=\S+$`, lines[entryName(0)][0])
}
