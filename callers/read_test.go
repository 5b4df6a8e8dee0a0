// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package callers_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/callers"
)

// TestChatKeyIsStableAcrossTurnsAndUniquePerAccount guards against turns of one chat that are routed
// as different chats, and against equal chats of two accounts that are routed as one.
func TestChatKeyIsStableAcrossTurnsAndUniquePerAccount(t *testing.T) {
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

// TestInvalidPromptsAreRejected guards against bodies without a model or a prompt that reach a target.
func TestInvalidPromptsAreRejected(t *testing.T) {
	for _, body := range []string{"", "[]", "{}", `{"model":"m"}`, `{"messages":[{}]}`, `{"model":1}`} {
		_, err := callers.ParsePrompt([]byte(body), "a", "")
		require.Error(t, err, body)
	}
}

// FuzzParsePrompt guards against panics on malformed bodies and prompts without a model or chat key.
func FuzzParsePrompt(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"x","max_tokens":3}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		p, err := callers.ParsePrompt(body, "a", "")
		if err == nil && (p.Model == "" || p.Chat == 0) {
			t.Fatalf("%+v", p)
		}
	})
}
