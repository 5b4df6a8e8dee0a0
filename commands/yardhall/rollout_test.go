// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package yardhall

import (
	"context"
	"flag"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"github.com/stretchr/testify/require"
)

// runRollout runs the command against a port that answers with a status and a body, and returns the
// exit code and the calls made.
func runRollout(t *testing.T, status int, answer, args string) (subcommands.ExitStatus, []string) {
	t.Helper()
	var calls []string
	port := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		calls = append(calls, strings.TrimSpace(r.Method+" "+r.URL.EscapedPath()+" "+string(body)))
		w.WriteHeader(status)
		_, _ = io.WriteString(w, answer)
	}))
	defer port.Close()
	key := filepath.Join(t.TempDir(), "key")
	require.NoError(t, os.WriteFile(key, []byte("k"), 0o600))
	cmd := &rolloutCommand{c: &connection{}}
	f := flag.NewFlagSet("rollout", flag.ContinueOnError)
	f.SetOutput(io.Discard)
	cmd.SetFlags(f)
	all := append([]string{"-hosts", port.Listener.Addr().String(), "-key-file", key}, strings.Fields(args)...)
	require.NoError(t, f.Parse(all))
	return cmd.Execute(context.Background(), f), calls
}

// TestRolloutCommandCalls guards against a command that orders something else than its arguments say,
// as with flags after arguments, which the flag package leaves out.
func TestRolloutCommandCalls(t *testing.T) {
	for args, want := range map[string]string{
		"start drafter v2 -within 5s": `POST /v1/rollouts {"service":"drafter","version":"v2","duration":"5s"}`,
		"-within 1m start drafter v2": `POST /v1/rollouts {"service":"drafter","version":"v2","duration":"1m0s"}`,
		"start drafter v2":            `POST /v1/rollouts {"service":"drafter","version":"v2","duration":"12s"}`,
		"status":                      `GET /v1/rollouts`,
		"status a/b -json":            `GET /v1/rollouts/a%2Fb`,
		"revert drafter":              `POST /v1/rollouts/drafter/revert`,
	} {
		code, calls := runRollout(t, http.StatusOK, `{}`, args)
		require.Equal(t, subcommands.ExitSuccess, code, args)
		require.Equal(t, []string{want}, calls, args)
	}
	for _, args := range []string{"", "start drafter", "start drafter v2 v3", "revert", "restart drafter", "start drafter v2 -within soon"} {
		code, calls := runRollout(t, http.StatusOK, `{}`, args)
		require.Equal(t, subcommands.ExitUsageError, code, args)
		require.Empty(t, calls, args)
	}
}

// TestRolloutCommandExitCodes guards against scripts that take an order of which nothing is known, or
// one that lost against another, for one that failed.
func TestRolloutCommandExitCodes(t *testing.T) {
	for answer, want := range map[string]subcommands.ExitStatus{
		`{"code":"conflict"}`: exitConflict, `{"code":"unknown"}`: exitUnknown, `{"code":"invalid"}`: subcommands.ExitFailure,
	} {
		code, _ := runRollout(t, http.StatusConflict, answer, "start drafter v2")
		require.Equal(t, want, code, answer)
	}
}
