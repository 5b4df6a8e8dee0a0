// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package callers_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/callers"
)

func TestChatKeyStaysOverTurnsAndDiffersByAccount(t *testing.T) {
	turn := func(rest string) callers.Prompt {
		p, err := callers.ParsePrompt(fmt.Appendf(nil, `{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"hi"}%s]}`, rest), "a", "")
		require.NoError(t, err)
		return p
	}
	first := turn("")
	require.Equal(t, first.Chat, turn(`,{"role":"assistant","content":"x"},{"role":"user","content":"more"}`).Chat)
	body := []byte(`{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"hi"}]}`)
	other, err := callers.ParsePrompt(body, "b", "")
	require.NoError(t, err)
	require.NotEqual(t, first.Chat, other.Chat)
	named, err := callers.ParsePrompt(body, "a", "chat-1")
	require.NoError(t, err)
	require.NotEqual(t, first.Chat, named.Chat)
}

func TestBadPromptsAreRefused(t *testing.T) {
	for _, body := range []string{"", "[]", "{}", `{"model":"m"}`, `{"messages":[{}]}`, `{"model":1}`} {
		_, err := callers.ParsePrompt([]byte(body), "a", "")
		require.Error(t, err, body)
	}
}

func FuzzParsePrompt(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"x","max_tokens":3}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		p, err := callers.ParsePrompt(body, "a", "")
		if err == nil && (p.Model == "" || p.Chat == 0) {
			t.Fatalf("%+v", p)
		}
	})
}
