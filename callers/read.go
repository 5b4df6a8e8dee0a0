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

// Prompt is what routing reads of an inference request.
type Prompt struct {
	Model     string
	Stream    bool
	MaxTokens int64
	// Chat identifies the chat: the caller's id, else its opening.
	Chat hash.Key
	// EstimatedTokens is the estimate of tokens to prefill and decode.
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
	bytesPerToken    = 4
	defaultMaxTokens = 256
	// openingBytes of a plain prompt identify its chat.
	openingBytes = 512
	roleUser     = "user"
)

// ParsePrompt reads the body of an inference request. account keeps equal
// chats of different accounts apart, chat is the caller's own id for the chat.
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

// chatKey returns the key that stays the same over the turns of a chat: the
// caller's id of it, or the hash of its opening, which every turn repeats.
func chatKey(b promptBody, account, chat string) hash.Key {
	if chat == "" {
		chat = b.Metadata["chat_id"]
	}
	if chat != "" {
		return hash.Of(account, b.Model, "id", chat)
	}
	if len(b.Messages) == 0 {
		return hash.Of(account, b.Model, "prompt", string(b.Prompt[:min(len(b.Prompt), openingBytes)]))
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

// readBody reads a bounded body.
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
	return nil, bad("the body could not be read")
}

func bad(reason string) *host.Verdict {
	return &host.Verdict{Outcome: outcome.NotRun, Code: codeBadRequest, Reason: reason}
}

// read reads a request as far as all kinds have it in common.
func (a *API) read(c echo.Context) ([]byte, host.Request, *host.Verdict) {
	body, verdict := a.readBody(c)
	if verdict != nil {
		return nil, host.Request{ID: a.newID()}, verdict
	}
	r, verdict := a.describe(c, body)
	return body, r, verdict
}

// describe reads the headers.
func (a *API) describe(c echo.Context, body []byte) (host.Request, *host.Verdict) {
	h := c.Request().Header
	r := host.Request{
		ID: a.newID(), KeyHash: keys.Hash(keys.Bearer(h.Get("Authorization"))),
		Class: ident.Class(h.Get(HeaderClass)), IdempotencyKey: h.Get(HeaderIdempotencyKey),
		Path: strings.TrimPrefix(c.Request().URL.Path, "/services/"+c.Param("service")),
	}
	limit, verdict := a.readDeadline(h)
	if verdict != nil {
		return r, verdict
	}
	r.Deadline = a.deps.Now().Add(limit)
	if text := h.Get(HeaderNotRepeatable); text != "" {
		once, err := strconv.ParseBool(text)
		if err != nil {
			return r, bad(HeaderNotRepeatable + " must be true or false")
		}
		r.AtMostOnce = once
	}
	r.Digest = xxhash.Sum64String(c.Request().Method + " " + c.Request().RequestURI + "\n" + string(body))
	return r, readKeyTime(h, &r)
}

func (a *API) readDeadline(h http.Header) (time.Duration, *host.Verdict) {
	text := h.Get(HeaderDeadline)
	if text == "" {
		return a.clampDeadline(0), nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, bad(HeaderDeadline + " must be a time above 0 such as 1500ms")
	}
	return a.clampDeadline(d), nil
}

const maxKeyLen = 256

// readKeyTime finds when an idempotency key was made: from the header, or from
// the key itself where it is a UUID with a time (version 7). A key without a
// time is no use for a request that must not run twice, as a late resend could
// not be told from a new request.
func readKeyTime(h http.Header, r *host.Request) *host.Verdict {
	if len(r.IdempotencyKey) > maxKeyLen {
		return bad(HeaderIdempotencyKey + " is too long")
	}
	if text := h.Get(HeaderIdempotencyKeyCreated); text != "" {
		seconds, err := strconv.ParseInt(text, 10, 64)
		if err != nil || seconds <= 0 {
			return bad(HeaderIdempotencyKeyCreated + " must be a Unix time in seconds")
		}
		r.KeyCreated = time.Unix(seconds, 0)
		// The time is part of the key, so that it cannot be moved by a resend.
		if r.IdempotencyKey != "" {
			r.IdempotencyKey += "@" + text
		}
		return nil
	}
	if id, err := uuid.Parse(r.IdempotencyKey); err == nil && id.Version() == timeUUID {
		seconds, nanos := id.Time().UnixTime()
		r.KeyCreated = time.Unix(seconds, nanos)
	}
	return nil
}

const timeUUID = 7

// checkKey refuses requests of unknown accounts that the core does not see.
func (a *API) checkKey(c echo.Context) *host.Verdict {
	hash := keys.Hash(keys.Bearer(c.Request().Header.Get("Authorization")))
	if _, ok := a.deps.Core.Config().AccountByKey(hash); ok {
		return nil
	}
	return &host.Verdict{Outcome: outcome.NotRun, Code: host.CodeInvalidAPIKey, Reason: "the API key is not known"}
}
