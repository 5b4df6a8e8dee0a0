// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package startup_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/startup"
)

const played = `{"ts":100.0,"msg":"startup","host":"e1","detail":"serves=true after=1s leader=400ms table=800ms target=900ms ready=1s"}
 -3.1 core-1 {"ts":100.2,"msg":"startup","host":"r1","detail":"serves=false after=500ms leader=300ms table=500ms"}
{"ts":101.0,"msg":"startup","host":"e1","detail":"serves=true after=2s leader=400ms table=800ms target=900ms ready=1s answer=2s"}
{"ts":103.0,"msg":"startup","host":"e2","detail":"serves=true after=5s leader=2s missing: no route table"}
{"ts":90.0,"msg":"startup","host":"e2","detail":"serves=true after=1s leader=9s table=9s target=9s ready=9s"}
{"ts":104.0,"msg":"ready","host":"e2","detail":"startup"}
{"ts":105.0,"msg":"startup","host":"e3","detail":"serves=true after=5s leader=soon"}
`

const printed = `MILESTONE           REACHED  OF  MEDIAN  P90    P99    LAST
replica: leader     1        1   300ms   300ms  300ms  300ms
replica: table      1        1   500ms   500ms  500ms  500ms
entry host: leader  2        2   400ms   2s     2s     2s
entry host: table   1        2   800ms   800ms  800ms  800ms
entry host: target  1        2   900ms   900ms  900ms  900ms
entry host: ready   1        2   1s      1s     1s     1s
entry host: answer  1        2   2s      2s     2s     2s

HOST  MISSING
e2    no route table

1 lines unread
`

func TestReport(t *testing.T) {
	r := startup.New()
	require.NoError(t, r.Read(strings.NewReader(played)))
	var out strings.Builder
	r.Print(&out)
	require.Equal(t, printed, out.String())
}

// TestReportOfNothing guards against figures that rest on no line.
func TestReportOfNothing(t *testing.T) {
	r := startup.New()
	require.NoError(t, r.Read(strings.NewReader("")))
	var out strings.Builder
	r.Print(&out)
	require.Equal(t, "MILESTONE  REACHED  OF  MEDIAN  P90  P99  LAST\n", out.String())
}
