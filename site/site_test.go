// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package site_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/callers"
	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/operators"
	"github.com/yardhall/yardhall/site"
)

// start starts a site that ends with the test.
func start(t testing.TB, b site.Builder) *site.Site {
	t.Helper()
	b.Dir = t.TempDir()
	s, err := b.Start(context.Background())
	require.NoError(t, err)
	t.Cleanup(s.Stop)
	return s
}

func openAI(s *site.Site, i int) openai.Client {
	return openai.NewClient(option.WithBaseURL(s.URL(i)+"/v1"), option.WithAPIKey(s.AccountKey), option.WithMaxRetries(0))
}

func chat(text ...string) openai.ChatCompletionNewParams {
	p := openai.ChatCompletionNewParams{Model: site.Model, MaxTokens: openai.Int(8)}
	for i, m := range text {
		if i%2 == 0 {
			p.Messages = append(p.Messages, openai.UserMessage(m))
		} else {
			p.Messages = append(p.Messages, openai.AssistantMessage(m))
		}
	}
	return p
}

func TestOpenAIClientIsServedAndReturnsToItsCache(t *testing.T) {
	s := start(t, site.Builder{Net: 11})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	opening := strings.Repeat("where is slot 17 in hall b? ", 40)

	var first, second *http.Response
	client := openAI(s, 0)
	answer, err := client.Chat.Completions.New(ctx, chat(opening), option.WithResponseInto(&first))
	require.NoError(t, err)
	require.NotEmpty(t, answer.Choices[0].Message.Content)
	require.Equal(t, "ran", first.Header.Get(callers.HeaderOutcome))

	// The chat returns at another host and streams.
	client = openAI(s, 3)
	stream := client.Chat.Completions.NewStreaming(ctx,
		chat(opening, answer.Choices[0].Message.Content, "and slot 18?"), option.WithResponseInto(&second))
	var text strings.Builder
	for stream.Next() {
		text.WriteString(stream.Current().Choices[0].Delta.Content)
	}
	require.NoError(t, stream.Err())
	require.Equal(t, 8, strings.Count(text.String(), " "), text.String())
	require.Equal(t, first.Header.Get(callers.HeaderTarget), second.Header.Get(callers.HeaderTarget))
	require.NotEqual(t, "0", second.Header.Get("X-Yardhall-Cached-Tokens"))

	models, err := client.Models.List(ctx)
	require.NoError(t, err)
	require.Len(t, models.Data, 2)

	_, err = client.Chat.Completions.New(ctx, openai.ChatCompletionNewParams{Model: "none", Messages: chat("x").Messages})
	var apiErr *openai.Error
	require.ErrorAs(t, err, &apiErr)
	require.Equal(t, "model_not_found", apiErr.Code)
}

func TestPlainServiceIsServed(t *testing.T) {
	s := start(t, site.Builder{Net: 12, Zones: 1, HostsPerZone: 1})
	req, err := http.NewRequest(http.MethodPut, s.URL(0)+"/services/floor/slots/17?side=left", strings.NewReader("confirm"))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+s.AccountKey)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "PUT /slots/17 done: confirm", string(body))
	require.Equal(t, "ran", resp.Header.Get(callers.HeaderOutcome))
}

func TestServiceIsHandedOverByZone(t *testing.T) {
	s := start(t, site.Builder{Net: 13, Zones: 1, HostsPerZone: 1})
	for percent, outcome := range map[int]string{0: "not-run", 100: "ran"} {
		put(t, s, "handovers/floor/zone-a", config.HandOver{Service: "floor", Zone: "zone-a", Percent: percent})
		await(t, "the step is in force", func() bool { return s.Hosts[0].Daemon.State().Config().Share("floor", "zone-a") == percent })
		r := call(s, 0, "/services/floor/slots", "x")
		require.Equal(t, outcome, r.outcome, r.body)
	}
}

func TestBadCallsGetClearErrors(t *testing.T) {
	s := start(t, site.Builder{Net: 14, Zones: 1, HostsPerZone: 1})
	for path, want := range map[string]string{
		"/v1/chat/completions":  "invalid_request",
		"/services/none/x":      "service_not_found",
		"/services/text/x":      "service_not_found",
		"/no/such/route":        "not_found",
		"/services/floor/slots": "class_not_allowed",
	} {
		r := call(s, 0, path, "{}", callers.HeaderClass, "golden")
		require.Equal(t, want, codeOf(r), "%s: %s", path, r.body)
		require.Equal(t, "not-run", r.outcome)
	}
	key := s.AccountKey
	s.AccountKey = "yh-wrong"
	require.Equal(t, "invalid_api_key", codeOf(call(s, 0, "/services/floor/slots", "x")))
	s.AccountKey = key
	require.Equal(t, "invalid_request", codeOf(call(s, 0, "/services/floor/slots", "x", callers.HeaderDeadline, "soon")))
}

// TestRouteTableIsShownAndReplaced replaces the route table over the operators'
// port, at two hosts, and resends a write whose answer was lost.
func TestRouteTableIsShownAndReplaced(t *testing.T) {
	s := start(t, site.Builder{Net: 13})
	c := s.Operator()
	put := func(number uint64, pools ...config.Pool) error {
		_, err := c.Do(t.Context(), operators.Request{
			Method: http.MethodPut, Path: "/v1/gateway/table", Body: config.RouteTable{Number: number, Pools: pools},
			Key: fmt.Sprint("table-", number),
		}, nil)
		return err
	}
	require.NoError(t, put(5, config.Pool{ID: "text"}))
	require.NoError(t, put(7, config.Pool{ID: "text"}, config.Pool{ID: "plain"}))
	require.NoError(t, put(7, config.Pool{ID: "text"}, config.Pool{ID: "plain"}), "the same write again")
	require.NoError(t, put(6, config.Pool{ID: "other"}), "an older one is taken note of")
	require.Error(t, put(9, config.Pool{}), "a pool without an id")
	var got config.RouteTable
	require.NoError(t, site.Await(t.Context(), time.Minute, "the table at the host asked", func() bool {
		_, err := c.Do(t.Context(), operators.Request{Method: http.MethodGet, Path: "/v1/gateway/table"}, &got)
		return err == nil && got.Number == 7
	}))
	require.Equal(t, []config.Pool{{ID: "text"}, {ID: "plain"}}, got.Pools)
}
