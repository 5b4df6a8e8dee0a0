// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/confirmation"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/loads"
	"github.com/yardhall/yardhall/core/outcome"
	"github.com/yardhall/yardhall/core/requests"
)

// TestRetriesStayWithinTheBudget guards against more retries than the budget allows when every
// attempt fails.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	const total, hosts = 400, 4
	s, now := ready(8).WithHostCount(hosts), start
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
				Request: ident.Request(id), Attempt: dispatch.Attempt, Result: outcome.Answered{Status: 500}, CallerWaiting: true,
			}, now)
			d = only(t, decisions)
		}
	}
	require.LessOrEqual(t, float64(dispatched-total), requests.RetryBudgetFraction*(requests.DefaultRetryShare*total+requests.DefaultRetryExtra/hosts)+1)
	require.Greater(t, dispatched, total)
}

// TestBorrowedRetriesStayWithinTheFleetsAllowance guards against exceeding the fleet's allowance
// by borrowing on late reports, and against borrowing too little to help.
func TestBorrowedRetriesStayWithinTheFleetsAllowance(t *testing.T) {
	const (
		hosts, perSecond, seconds = 60, 120, 40
		extra, window             = 300.0, 10
	)
	measure := func(borrows bool) (most, total int) {
		states := make([]requests.State, hosts)
		for i := range states {
			states[i] = readyWith(requests.Settings{Zone: "z", RetryExtra: extra}, 8).WithHostCount(hosts)
		}
		var reports []loads.Digest
		sent := make([]int, seconds)
		for tick := range seconds * perSecond {
			now := start.Add(time.Duration(tick) * time.Second / perSecond)
			i := tick * 7 % hosts
			id := ident.Request(fmt.Sprint("r", tick))
			states[i], _ = requests.Reduce(states[i], requests.Confirmed{Confirmation: confirmation.At(now)}, now)
			var d requests.Decision
			states[i], d = arrive(t, states[i], request(string(id), "/safe/x"), now)
			_, decisions := requests.Reduce(states[i], requests.AttemptEnded{
				Request: id, Attempt: d.(requests.Dispatch).Attempt, Result: outcome.Declined{}, CallerWaiting: true,
			}, now)
			states[i], _ = requests.Reduce(states[i], requests.AttemptEnded{
				Request: id, Attempt: d.(requests.Dispatch).Attempt, Result: outcome.Declined{}, CallerWaiting: true,
			}, now)
			if again, ok := only(t, decisions).(requests.Dispatch); ok {
				sent[tick/perSecond]++
				states[i], _ = requests.Reduce(states[i], requests.AttemptEnded{
					Request: id, Attempt: again.Attempt, Result: outcome.Answered{Status: 200}, CallerWaiting: true,
				}, now)
			}
			if tick%(perSecond/3) == 0 {
				own := make([]loads.Digest, 0, hosts)
				for h := range states {
					own = append(own, states[h].Loads(now))
				}
				reports = append(reports, loads.Sum(slices.Values(own)))
				if late := len(reports) - 3; borrows && late >= 0 { // About a second old.
					for h := range states {
						states[h], _ = requests.Reduce(states[h], requests.LoadsReported{Loads: reports[late], AsOf: now.Add(-time.Second)}, now)
					}
				}
			}
		}
		for from := range seconds - window {
			sum := 0
			for _, n := range sent[from : from+window] {
				sum += n
			}
			most = max(most, sum)
		}
		for _, n := range sent {
			total += n
		}
		return most, total
	}
	_, alone := measure(false)
	most, together := measure(true)
	allowance := requests.RetryBudgetFraction * (requests.DefaultRetryShare*perSecond*window + extra)
	t.Logf("in all: %d alone, %d with borrowed retries, of which %d in %d s, %.0f allowed", alone, together, most, window, allowance)
	require.LessOrEqual(t, float64(most), allowance)
	require.Greater(t, together, alone)
}
