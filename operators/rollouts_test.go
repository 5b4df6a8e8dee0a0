// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package operators_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/common/keys"
	"github.com/yardhall/yardhall/core/catalog"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/rollouts"
	"github.com/yardhall/yardhall/operators"
)

// rolloutCore answers writes and reads with fixed results.
type rolloutCore struct {
	result   catalog.Result
	known    bool
	replica  bool
	current  bool
	state    rollouts.State
	writes   []catalog.Write
	rejected int
}

func (*rolloutCore) State() host.State { return host.State{} }
func (*rolloutCore) Post(host.Event)   {}
func (c *rolloutCore) Write(_ context.Context, w catalog.Write, _ time.Duration) (catalog.Result, bool) {
	c.writes = append(c.writes, w)
	return c.result, c.known
}
func (c *rolloutCore) IsReplica() bool                             { return c.replica }
func (c *rolloutCore) Confirm(context.Context, time.Duration) bool { return c.current }
func (c *rolloutCore) Rollouts() rollouts.State                    { return c.state }
func (c *rolloutCore) RolloutOrderRejected(ident.Service, string)  { c.rejected++ }

// send makes a call with the operator's key and returns status, code of the error and body.
func send(d operators.Deps, method, path, body string) (status int, code, text string) {
	d.KeyHashes, d.Counters = []string{keys.Hash("key")}, http.NotFoundHandler()
	r := httptest.NewRequestWithContext(context.Background(), method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer key")
	r.Header.Set(operators.HeaderActor, "ada")
	recorder := httptest.NewRecorder()
	operators.New(d).Handler().ServeHTTP(recorder, r)
	var failure operators.Error
	_ = json.Unmarshal(recorder.Body.Bytes(), &failure) // Not all answers are errors.
	return recorder.Code, failure.Code, recorder.Body.String()
}

const goodOrder = `{"service":"drafter","version":"v2","duration":"12s"}`

// TestRolloutWritesAreAnswered guards against wrong statuses of orders and reverts, by which scripts
// decide whether to repeat a call, and against writes without the operator's name for the audit
// trail.
func TestRolloutWritesAreAnswered(t *testing.T) {
	order := catalog.OrderRollout{Order: rollouts.Order{Service: "drafter", To: "v2", Duration: 12 * time.Second}}
	for _, call := range []struct {
		path, body string
		want       catalog.Command
	}{
		{"/v1/rollouts", goodOrder, order},
		{"/v1/rollouts/drafter/revert", "", catalog.RevertRollout{Revert: rollouts.Revert{Service: "drafter"}}},
	} {
		for _, c := range []struct {
			code   catalog.Code
			known  bool
			status int
			word   string
		}{
			{catalog.OK, true, http.StatusOK, ""},
			{catalog.Invalid, true, http.StatusBadRequest, "invalid"},
			{catalog.Conflict, true, http.StatusConflict, "conflict"},
			{catalog.NotFound, true, http.StatusNotFound, "not_found"},
			{catalog.Overtaken, true, http.StatusServiceUnavailable, "overtaken"},
			{catalog.OK, false, http.StatusServiceUnavailable, "unknown"},
		} {
			core := &rolloutCore{result: catalog.Result{Code: c.code, Reason: "reason"}, known: c.known}
			status, code, text := send(operators.Deps{Core: core, Rollouts: core}, http.MethodPost, call.path, call.body)
			require.Equal(t, c.status, status, text)
			require.Equal(t, c.word, code)
			require.Equal(t, call.want, core.writes[0].Command)
			require.Equal(t, "operator ada", core.writes[0].Actor)
			require.Equal(t, c.status == http.StatusBadRequest, core.rejected == 1)
		}
	}
}

// TestMalformedOrdersAreRejected guards against malformed orders that are written or not counted.
func TestMalformedOrdersAreRejected(t *testing.T) {
	change := func(from, to string) string { return strings.Replace(goodOrder, from, to, 1) }
	for name, body := range map[string]string{
		"cut short":     goodOrder[:20],
		"unknown field": change(`{`, `{"by":"x",`),
		"empty version": change(`v2`, ``),
		"long version":  change(`v2`, strings.Repeat("v", 300)),
		"number":        change(`"v2"`, `2`),
		"no duration":   change(`12s`, ``),
		"two hours":     change(`12s`, `2h`),
		"too large":     change(`v2`, strings.Repeat("v", 2<<20)),
	} {
		core := &rolloutCore{known: true, result: catalog.Result{Code: catalog.OK}}
		status, code, _ := send(operators.Deps{Core: core, Rollouts: core}, http.MethodPost, "/v1/rollouts", body)
		require.Equal(t, http.StatusBadRequest, status, name)
		require.Equal(t, "invalid", code, name)
		require.Empty(t, core.writes, name)
		require.Equal(t, 1, core.rejected, name)
	}
}

// TestRolloutsAreShownFromAConfirmedState guards against an answer from a state that may be older
// than an acknowledged order, and against an error that keeps the client from asking a replica.
func TestRolloutsAreShownFromAConfirmedState(t *testing.T) {
	core := &rolloutCore{state: rollouts.State{Revision: 9, Entries: []rollouts.Entry{
		{Service: "drafter", Current: "v1", Rollout: rollouts.Rollout{
			Order: 7, From: "v1", To: "v2", Duration: 12 * time.Second, Phase: rollouts.Trial, Share: 80, Elapsed: 2500 * time.Millisecond,
		}},
		{Service: "plain", Current: "v5"},
	}}}
	get := func(path string) (int, string) {
		status, _, text := send(operators.Deps{Core: core, Rollouts: core}, http.MethodGet, path, "")
		return status, text
	}
	status, _ := get("/v1/rollouts")
	require.Equal(t, http.StatusMisdirectedRequest, status)
	core.replica = true
	status, _ = get("/v1/rollouts/drafter")
	require.Equal(t, http.StatusServiceUnavailable, status)
	core.current = true
	const drafter = `{"service":"drafter","state":"running","current":"v1","from":"v1","version":"v2","phase":"trial","share":0.08,"elapsed":"2.5s","duration":"12s"}`
	_, text := get("/v1/rollouts/drafter")
	require.JSONEq(t, drafter, text)
	_, text = get("/v1/rollouts")
	require.JSONEq(t, `{"revision":9,"rollouts":[`+drafter+`,{"service":"plain","state":"none","current":"v5","share":0}]}`, text)
	status, _ = get("/v1/rollouts/plain")
	require.Equal(t, http.StatusNotFound, status)
}

// TestCallsNeedTheSetting guards against rollouts in a fleet that does not configure them.
func TestCallsNeedTheSetting(t *testing.T) {
	core := &rolloutCore{}
	status, _, _ := send(operators.Deps{Core: core}, http.MethodGet, "/v1/rollouts", "")
	require.Equal(t, http.StatusNotFound, status)
	status, _, _ = send(operators.Deps{Core: core}, http.MethodPost, "/v1/rollouts", goodOrder)
	require.Contains(t, []int{http.StatusNotFound, http.StatusMethodNotAllowed}, status)
	require.Empty(t, core.writes)
}
