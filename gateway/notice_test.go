// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/requests"
)

// TestParseNotice guards against misread shutdown and backoff headers of workers.
func TestParseNotice(t *testing.T) {
	names := DefaultHeaders()
	now := time.Date(2026, time.May, 4, 12, 0, 0, 0, time.UTC)
	backoff := func(d time.Duration) requests.Notice { return requests.Notice{Backoff: d} }
	tests := map[string]struct {
		status     int
		leaving    string
		retryAfter string
		want       requests.Notice
	}{
		"no notice":                        {status: 200},
		"leaving":                          {status: 200, leaving: "1", want: requests.Notice{Leaving: true}},
		"leaving and failing":              {status: 500, leaving: "1", want: requests.Notice{Leaving: true}},
		"not leaving":                      {status: 200, leaving: "0"},
		"another process answers":          {status: 421, leaving: "1", retryAfter: "3"},
		"whole seconds":                    {status: 503, retryAfter: "3", want: backoff(3 * time.Second)},
		"too many requests":                {status: 429, retryAfter: "2", want: requests.Notice{SoftBackoff: 2 * time.Second}},
		"leaving and backing off":          {status: 503, leaving: "1", retryAfter: "1", want: requests.Notice{Leaving: true, Backoff: time.Second}},
		"delay with a successful response": {status: 200, retryAfter: "3"},
		"declined without a delay":         {status: 503},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			header := http.Header{}
			for key, value := range map[string]string{names.Leaving: tt.leaving, "Retry-After": tt.retryAfter} {
				if value != "" {
					header.Set(key, value)
				}
			}
			require.Equal(t, tt.want, names.parseNotice(&http.Response{StatusCode: tt.status, Header: header}, now))
		})
	}
}
