// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestUnmarkedRefusalIsCountedAndPassedOn guards against a worker's refusal that does not say that the request was not
// run: it must reach the caller as it is, must not be taken for a promise by this host, and must be counted.
func TestUnmarkedRefusalIsCountedAndPassedOn(t *testing.T) {
	const text = "busy"
	for name, c := range map[string]struct {
		status  int
		head    string
		lines   []string
		counted string
	}{
		"503":            {http.StatusServiceUnavailable, "503 Service Unavailable", []string{"Content-Length: 4"}, "1"},
		"429":            {http.StatusTooManyRequests, "429 Too Many Requests", []string{"Content-Length: 4"}, "1"},
		"408":            {http.StatusRequestTimeout, "408 Request Timeout", []string{"Content-Length: 4"}, "1"},
		"500":            {http.StatusInternalServerError, "500 Internal Server Error", []string{"Content-Length: 4"}, ""},
		"marked refusal": {http.StatusServiceUnavailable, "503 Service Unavailable", []string{"Content-Length: 4", names.NotRun + ": 1"}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 0)
			b.number = 1000
			form := answerForm{head: signedHead(c.head, c.lines...), rest: text}
			b.startCutting(false).set(&form, len(form.head("request-1000"))+len(text))
			status, _, _, err := b.call("/unsafe/x", "body")
			require.NoError(t, err)
			require.Equal(t, c.status, status)
			got := ""
			if v := b.irregular.Get("unmarked_refusal"); v != nil {
				got = v.String()
			}
			require.Equal(t, c.counted, got)
		})
	}
}
