// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"
)

type completionRequest struct {
	Model     string            `json:"model"`
	Stream    bool              `json:"stream"`
	MaxTokens int               `json:"max_tokens"`
	Prompt    json.RawMessage   `json:"prompt"`
	Messages  []json.RawMessage `json:"messages"`
	User      string            `json:"user"`
}

func (r completionRequest) prompt() []byte {
	out := slices.Clone([]byte(r.Prompt))
	for _, m := range r.Messages {
		out = append(out, m...)
	}
	return out
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	body, err := io.ReadAll(r.Body)
	var req completionRequest
	if err != nil || json.Unmarshal(body, &req) != nil {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	w.Header().Set("X-Request-Id", id)
	if reason := e.admit(req); reason != "" {
		w.Header().Set("X-Yardhall-Declined", reason)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.leave()
	faults := e.begin(r.Context(), req, w, rank(r))
	defer e.end()
	if faults.Hang {
		<-r.Context().Done()
		return
	}
	if faults.WrongID {
		w.Header().Set("X-Request-Id", "another-request")
	}
	if req.Stream {
		e.keep(id, req)
		e.stream(w, r, id, req, faults, 0)
		return
	}
	e.answer(w, r, id, req)
}

func rank(r *http.Request) int {
	n, err := strconv.Atoi(r.Header.Get("X-Priority"))
	if err != nil {
		return 1
	}
	return n
}

// admit takes a request or says why not; a declined one did not run.
func (e *Engine) admit(req completionRequest) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		e.stats.AfterLeaving++
		return "leaving"
	}
	if !slices.Contains(e.models, req.Model) {
		return "model is not loaded"
	}
	e.inFlight++
	e.peak = max(e.peak, e.inFlight)
	e.stats.Requests++
	e.runs[req.User]++
	return ""
}

func (e *Engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
}

// begin waits for a slot, better ranks first, then takes the time to prefill
// what is not cached.
func (e *Engine) begin(ctx context.Context, req completionRequest, w http.ResponseWriter, rank int) Faults {
	e.mu.Lock()
	e.waiting = append(e.waiting, rank)
	for e.running >= e.options.Slots || slices.Min(e.waiting) < rank {
		e.idle.Wait()
	}
	i := slices.Index(e.waiting, rank)
	e.waiting = slices.Delete(e.waiting, i, i+1)
	e.running++
	cached, all := e.cache.use(req.prompt())
	e.stats.CachedBlocks += cached
	e.stats.PromptBlocks += all
	faults := e.faults
	e.idle.Broadcast()
	e.mu.Unlock()
	w.Header().Set("X-Yardhall-Cached-Tokens", strconv.Itoa(cached*blockBytes/bytesPerToken))
	w.Header().Set("X-Yardhall-Prompt-Tokens", strconv.Itoa(all*blockBytes/bytesPerToken))
	pause(ctx, time.Duration(all-cached)*e.options.PrefillTime)
	return faults
}

const bytesPerToken = 4

func (e *Engine) end() {
	e.mu.Lock()
	e.running--
	e.idle.Broadcast()
	e.mu.Unlock()
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
