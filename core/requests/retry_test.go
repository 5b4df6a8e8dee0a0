// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/requests"
)

// TestRetriesStayWithinTheBudget lets every try fail: what is sent once more
// stays within the share of requests and the host's part of the extra ones.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	const total, hosts = 400, 4
	s, now := ready(8).WithHosts(hosts), start
	dispatched := 0
	for i := range total {
		id := fmt.Sprintf("r%d", i)
		var d requests.Decision
		s, d = arrive(t, s, request(id, "/safe/x"), now)
		for {
			dispatch, ok := d.(requests.Dispatch)
			if !ok {
				break
			}
			dispatched++
			var decisions []requests.Decision
			s, decisions = requests.Reduce(s, requests.AttemptEnded{
				Request: ident.Request(id), Attempt: dispatch.Attempt, Result: outcome.Answered{Status: 500}, Wanted: true,
			}, now)
			d = only(t, decisions)
		}
	}
	require.LessOrEqual(t, float64(dispatched-total), requests.BudgetUsed*(requests.DefaultRetryShare*total+requests.DefaultRetryExtra/hosts)+1)
	require.Greater(t, dispatched, total)
}
