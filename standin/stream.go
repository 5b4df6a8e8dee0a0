// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package standin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func tokensOf(req completionRequest) int { return cmp.Or(req.MaxTokens, defaultTokens) }

// word is the text of token i of the answer to a request.
func word(id string, i int) string { return fmt.Sprintf("%s.%d ", id, i) }

type chunkDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int         `json:"index"`
	Delta        *chunkDelta `json:"delta,omitempty"`
	Message      *chunkDelta `json:"message,omitempty"`
	Text         string      `json:"text,omitempty"`
	FinishReason *string     `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, id string, req completionRequest, f Faults, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	n := tokensOf(req)
	for i := from; i < n; i++ {
		pause(r.Context(), e.options.TokenTime)
		if r.Context().Err() != nil {
			return
		}
		if f.CutAfter > 0 && i == from+f.CutAfter {
			panic(http.ErrAbortHandler)
		}
		c := choice{Delta: &chunkDelta{Role: "assistant", Content: word(id, i)}}
		if i == n-1 {
			stop := "stop"
			c.FinishReason = &stop
		}
		text, _ := json.Marshal(completion{
			ID: id, Object: "chat.completion.chunk", Created: time.Now().Unix(), Model: req.Model, Choices: []choice{c},
		})
		_, _ = fmt.Fprintf(w, "data: %s\n\n", text)
		_ = control.Flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
	e.drop(id)
}

func (e *Engine) keep(id string, req completionRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kept[id] = req
}

func (e *Engine) drop(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.kept, id)
}

// Kept counts the streams that may be resumed.
func (e *Engine) Kept() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.kept)
}

// resume goes on with a stream after its first events. A cut breaks it again
// after as many more.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	e.mu.Lock()
	req, ok := e.kept[id]
	faults := e.faults
	e.mu.Unlock()
	w.Header().Set("X-Request-Id", id)
	if err != nil || !ok || faults.NoResume {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	e.stream(w, r, id, req, faults, from)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.PathValue("id"))
	e.drop(r.PathValue("id"))
}

func (e *Engine) answer(w http.ResponseWriter, r *http.Request, id string, req completionRequest) {
	n := tokensOf(req)
	pause(r.Context(), time.Duration(n)*e.options.TokenTime)
	var text strings.Builder
	for i := range n {
		text.WriteString(word(id, i))
	}
	stop := "stop"
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(completion{
		ID: id, Object: "chat.completion", Created: time.Now().Unix(), Model: req.Model,
		Choices: []choice{{Message: &chunkDelta{Role: "assistant", Content: text.String()}, Text: text.String(), FinishReason: &stop}},
		Usage:   &usage{PromptTokens: len(req.prompt()) / bytesPerToken, CompletionTokens: n, TotalTokens: len(req.prompt())/bytesPerToken + n},
	})
}
