// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package callers

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/common/keys"
	"github.com/yardhall/yardhall/core/hash"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
)

// Prompt holds the properties of an inference request that routing depends on.
type Prompt struct {
	Model     string
	Stream    bool
	MaxTokens int64
	// Chat is the key of the chat, see chatKey.
	Chat hash.Key
	// EstimatedTokens is the estimated number of tokens to prefill and decode.
	EstimatedTokens int64
}

type promptBody struct {
	Model               string            `json:"model"`
	Stream              bool              `json:"stream"`
	MaxTokens           int64             `json:"max_tokens"`
	MaxCompletionTokens int64             `json:"max_completion_tokens"`
	Messages            []message         `json:"messages"`
	Prompt              json.RawMessage   `json:"prompt"`
	Metadata            map[string]string `json:"metadata"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

const (
	// bytesPerToken is the ratio by which prompt tokens are estimated.
	bytesPerToken    = 4
	defaultMaxTokens = 256
	// promptKeyBytes is the length of the prefix of a plain prompt that identifies its chat.
	promptKeyBytes = 512
	roleUser       = "user"
)

// ParsePrompt parses the body of an inference request. account separates equal chats of
// different accounts; chat is the caller's id of the chat, or empty.
func ParsePrompt(body []byte, account, chat string) (Prompt, error) {
	var b promptBody
	if err := json.Unmarshal(body, &b); err != nil {
		return Prompt{}, errors.New("the body is not valid JSON of this request")
	}
	if b.Model == "" {
		return Prompt{}, errors.New("model is missing")
	}
	if len(b.Messages) == 0 && len(b.Prompt) == 0 {
		return Prompt{}, errors.New("messages or prompt is missing")
	}
	p := Prompt{Model: b.Model, Stream: b.Stream, MaxTokens: max(b.MaxTokens, b.MaxCompletionTokens)}
	if p.MaxTokens <= 0 {
		p.MaxTokens = defaultMaxTokens
	}
	p.EstimatedTokens = int64(len(body))/bytesPerToken + p.MaxTokens
	p.Chat = chatKey(b, account, chat)
	return p, nil
}

// chatKey returns a key that is the same for all turns of a chat: a hash of the caller's id of
// the chat if there is one, otherwise of the messages up to the first one of the user, which
// every turn repeats.
func chatKey(b promptBody, account, chat string) hash.Key {
	if chat == "" {
		chat = b.Metadata["chat_id"]
	}
	if chat != "" {
		return hash.Of(account, b.Model, "id", chat)
	}
	if len(b.Messages) == 0 {
		return hash.Of(account, b.Model, "prompt", string(b.Prompt[:min(len(b.Prompt), promptKeyBytes)]))
	}
	parts := []string{account, b.Model, "opening"}
	for _, m := range b.Messages {
		parts = append(parts, m.Role, string(m.Content))
		if m.Role == roleUser {
			break
		}
	}
	return hash.Of(parts...)
}

// readBody reads the body up to the limit of the options.
func (a *API) readBody(c echo.Context) ([]byte, *host.Verdict) {
	limit := a.deps.Options.MaxBody
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, limit))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &host.Verdict{
			Outcome: outcome.NotRun, Code: codeTooLarge, Reason: "the body is larger than " + strconv.FormatInt(limit, 10) + " bytes",
		}
	}
	return nil, badRequest("the body could not be read")
}

// badRequest returns the verdict for a malformed request.
func badRequest(reason string) *host.Verdict {
	return &host.Verdict{Outcome: outcome.NotRun, Code: codeBadRequest, Reason: reason}
}

// readRequest reads the body and parses the headers. The returned request always has an id,
// also if there is a verdict.
func (a *API) readRequest(c echo.Context) ([]byte, host.Request, *host.Verdict) {
	body, verdict := a.readBody(c)
	if verdict != nil {
		return nil, host.Request{ID: a.newRequestID()}, verdict
	}
	r, verdict := a.parseRequest(c, body)
	return body, r, verdict
}

// parseRequest parses the headers that inference and plain services have in common.
func (a *API) parseRequest(c echo.Context, body []byte) (host.Request, *host.Verdict) {
	h := c.Request().Header
	r := host.Request{
		ID: a.newRequestID(), KeyHash: keys.Hash(keys.Bearer(h.Get("Authorization"))),
		Class: ident.Class(h.Get(HeaderClass)), IdempotencyKey: h.Get(HeaderIdempotencyKey),
		Path: strings.TrimPrefix(c.Request().URL.Path, "/services/"+c.Param("service")),
	}
	timeout, verdict := a.parseTimeout(h)
	if verdict != nil {
		return r, verdict
	}
	r.Deadline = a.deps.Now().Add(timeout)
	if text := h.Get(HeaderNotRepeatable); text != "" {
		atMostOnce, err := strconv.ParseBool(text)
		if err != nil {
			return r, badRequest(HeaderNotRepeatable + " must be true or false")
		}
		r.AtMostOnce = atMostOnce
	}
	r.Digest = xxhash.Sum64String(c.Request().Method + " " + c.Request().RequestURI + "\n" + string(body))
	return r, parseKeyTime(h, &r)
}

// parseTimeout returns the time until the deadline that the caller requests.
func (a *API) parseTimeout(h http.Header) (time.Duration, *host.Verdict) {
	text := h.Get(HeaderDeadline)
	if text == "" {
		return a.clampTimeout(0), nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, badRequest(HeaderDeadline + " must be a time above 0 such as 1500ms")
	}
	return a.clampTimeout(d), nil
}

const maxKeyLen = 256

// parseKeyTime sets the creation time of the idempotency key, from the header or from a version
// 7 UUID. Without a creation time, a late retry could not be distinguished from a new request.
func parseKeyTime(h http.Header, r *host.Request) *host.Verdict {
	if len(r.IdempotencyKey) > maxKeyLen {
		return badRequest(HeaderIdempotencyKey + " is too long")
	}
	if text := h.Get(HeaderIdempotencyKeyCreated); text != "" {
		seconds, err := strconv.ParseInt(text, 10, 64)
		if err != nil || seconds <= 0 {
			return badRequest(HeaderIdempotencyKeyCreated + " must be a Unix time in seconds")
		}
		r.KeyCreated = time.Unix(seconds, 0)
		// The time becomes part of the key, so that a retry cannot change it.
		if r.IdempotencyKey != "" {
			r.IdempotencyKey += "@" + text
		}
		return nil
	}
	if id, err := uuid.Parse(r.IdempotencyKey); err == nil && id.Version() == uuidV7 {
		seconds, nanos := id.Time().UnixTime()
		r.KeyCreated = time.Unix(seconds, nanos)
	}
	return nil
}

const uuidV7 = 7

// checkAPIKey rejects unknown API keys on routes that do not submit a request to the core.
func (a *API) checkAPIKey(c echo.Context) *host.Verdict {
	keyHash := keys.Hash(keys.Bearer(c.Request().Header.Get("Authorization")))
	if _, ok := a.deps.Core.Config().AccountByKey(keyHash); ok {
		return nil
	}
	return &host.Verdict{Outcome: outcome.NotRun, Code: host.CodeInvalidAPIKey, Reason: "the API key is not known"}
}
