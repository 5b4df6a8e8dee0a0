// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway

import (
	"bufio"
	"net/http"
	"net/textproto"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
)

// randomCase draws a spelling of a name in mixed case.
func randomCase(t *rapid.T, name string) string {
	upper := rapid.SliceOfN(rapid.Bool(), len(name), len(name)).Draw(t, "upper")
	letters := []byte(strings.ToLower(name))
	for i, u := range upper {
		if u {
			letters[i] = strings.ToUpper(name)[i]
		}
	}
	return string(letters)
}

// parseHeader parses header lines as net/http does.
func parseHeader(t *rapid.T, lines []string) http.Header {
	reader := textproto.NewReader(bufio.NewReader(strings.NewReader(strings.Join(lines, "\r\n") + "\r\n\r\n")))
	h, err := reader.ReadMIMEHeader()
	require.NoError(t, err)
	return http.Header(h)
}

// TestCallersCannotSetHostHeaders guards against forged host headers that reach a worker, and
// against request headers that a Connection header removes, in any case and number.
func TestCallersCannotSetHostHeaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := rapid.SampledFrom(allHeaders()).Draw(t, "headers")
		lines := make([]string, 0, 16)
		lines = append(lines, h.RequestID+": id-1", h.Model+": m", h.Tokens+": 10,20", h.PromptParts+": a:1,b:2", "X-Own: kept")
		for _, name := range rapid.SliceOf(rapid.SampledFrom(h.hostHeaders())).Draw(t, "names") {
			lines = append(lines, randomCase(t, name)+": forged")
		}
		named := rapid.SliceOf(rapid.SampledFrom(append(h.hostHeaders(), h.callerHeaders()...))).Draw(t, "named in Connection")
		for _, name := range named {
			lines = append(lines, "Connection: "+randomCase(t, name))
		}
		d := requests.Dispatch{Request: "id-1", Worker: registry.Worker{ID: "w"}, Engine: rapid.Bool().Draw(t, "engine")}
		out := h.toWorker(parseHeader(t, rapid.Permutation(lines).Draw(t, "lines")), d, time.Second, "")
		for name, values := range out {
			require.NotContains(t, values, "forged", name)
		}
		for name, want := range map[string]string{h.RequestID: "id-1", h.Model: "m", h.Tokens: "10,20", h.PromptParts: "a:1,b:2", "X-Own": "kept", h.DeadlineMs: "1000", h.ExpectedWorker: "w"} {
			require.Equal(t, []string{want}, out.Values(name), name)
		}
	})
}

// TestCallersDoNotGetHostAndWorkerHeaders guards against internal headers in the responses that
// callers get.
func TestCallersDoNotGetHostAndWorkerHeaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := rapid.SampledFrom(allHeaders()).Draw(t, "headers")
		hidden := append(h.hostHeaders(), h.workerHeaders()...)
		lines := append(make([]string, 0, 16), h.Signature+": stamp", h.RequestID+": id-1", "Content-Type: text/plain")
		for _, name := range rapid.SliceOf(rapid.SampledFrom(hidden)).Draw(t, "names") {
			lines = append(lines, randomCase(t, name)+": said")
		}
		out := h.toCaller(parseHeader(t, lines))
		require.Len(t, out, 3)
		require.Equal(t, "stamp", out.Get(h.Signature))
	})
}

// allHeaders returns the default header names and a variant with other names.
func allHeaders() []Headers {
	other := DefaultHeaders()
	other.Account, other.CacheFrom, other.Reserved = "Owner", "Fetch", []string{"Hold", "Copy-To"}
	return []Headers{DefaultHeaders(), other}
}

// TestHeaderNamesAreCanonical guards against names that the filters, which index http.Header
// directly, would not match.
func TestHeaderNamesAreCanonical(t *testing.T) {
	for _, h := range allHeaders() {
		for _, name := range slices.Concat(h.hostHeaders(), h.callerHeaders(), h.workerHeaders()) {
			require.Equal(t, http.CanonicalHeaderKey(name), name)
		}
	}
}
