// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package retryafter_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/common/retryafter"
)

func TestTimesAreRead(t *testing.T) {
	now := time.Date(2026, time.May, 4, 12, 0, 0, 0, time.UTC)
	tests := map[string]struct {
		text, date string
		want       time.Duration
	}{
		"nothing":                    {},
		"whole seconds":              {text: "3", want: 3 * time.Second},
		"a fraction":                 {text: "0.25", want: 250 * time.Millisecond},
		"spaces":                     {text: " 2 ", want: 2 * time.Second},
		"zero":                       {text: "0"},
		"a word":                     {text: "soon"},
		"not a number":               {text: "NaN"},
		"negative":                   {text: "-3"},
		"negative without end":       {text: "-Inf"},
		"enormous":                   {text: "1e300", want: retryafter.Max},
		"beyond the range":           {text: "1e999", want: retryafter.Max},
		"negative beyond the range":  {text: "-1e999"},
		"without end":                {text: "Inf", want: retryafter.Max},
		"a date":                     {text: "Mon, 04 May 2026 12:00:05 GMT", want: 5 * time.Second},
		"a date that has passed":     {text: "Mon, 04 May 2026 11:00:00 GMT"},
		"a date of the far future":   {text: "Fri, 04 May 2929 12:00:00 GMT", want: retryafter.Max},
		"a sender with another time": {text: "Mon, 04 May 2026 09:00:05 GMT", date: "Mon, 04 May 2026 09:00:00 GMT", want: 5 * time.Second},
		"a date that cannot be read": {text: "Mon, 04 May 2026 12:00:05 GMT", date: "today", want: 5 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := http.Header{"Retry-After": {tt.text}, "Date": {tt.date}}
			require.Equal(t, tt.want, retryafter.Of(h, now))
		})
	}
}
