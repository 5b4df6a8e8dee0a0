// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package yardhall

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLinesOnARequestComeByTimeFromAllHosts(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	write("entry-1.log", `{"ts":2.5,"msg":"request","request":"a1"}
{"ts":2.6,"msg":"request","request":"a11"}
no line of a log with a1
`)
	write("entry-2.log", `host entry-2: {"ts":1.5,"msg":"try","request":"a1"}
`)
	var out bytes.Buffer
	require.NoError(t, explainRequest(&out, dir, "a1"))
	require.Equal(t, `host entry-2: {"ts":1.5,"msg":"try","request":"a1"}
{"ts":2.5,"msg":"request","request":"a1"}
`, out.String())
	require.ErrorContains(t, explainRequest(&out, dir, "none"), "no log")
	require.ErrorContains(t, explainRequest(&out, dir, ""), "missing")
}
