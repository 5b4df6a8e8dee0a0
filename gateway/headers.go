// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/yardhall/yardhall/common/keys"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/requests"
)

// Headers names the headers by which callers, hosts and workers speak. Each
// platform may have names of its own; what they carry is the same.
type Headers struct {
	// RequestID identifies one try of a caller; workers repeat it.
	RequestID string
	// DeadlineMs is how long the caller waits, in whole milliseconds.
	DeadlineMs string
	// Model, Tokens (IN,OUT) and Parts (ID:TOKENS, joined by commas) describe a
	// prompt.
	Model       string
	Tokens      string
	PromptParts string
	// LastEventID is the id of the last event of a stream that is gone on with.
	LastEventID string
	// Account tells a worker for whom it works.
	Account string
	// ExpectedWorker names the worker that is meant; Instance the one that answers.
	ExpectedWorker string
	WorkerID       string
	// CacheFrom tells an engine the address of another that may keep the prefix.
	CacheFrom string
	// Rank is the priority told to engines; 0 goes first.
	Rank string
	// Load is a worker's RUNNING,WAITING,SLOTS.
	Load string
	// NotRun is set on an answer where the worker did not run the request.
	NotRun string
	// Leaving is set on every answer of a worker that leaves.
	Leaving string
	// Signature is set on every answer that a worker made.
	Signature string
	// Reserved are further headers by which only hosts speak to workers. A caller's
	// are never passed on.
	Reserved []string
}

// DefaultHeaders are yardhall's own names.
func DefaultHeaders() Headers {
	return Headers{
		RequestID: "Yardhall-Request-Id", DeadlineMs: "Yardhall-Timeout-Ms", Model: "Yardhall-Model",
		Tokens: "Yardhall-Tokens", PromptParts: "Yardhall-Prompt-Parts", LastEventID: "Last-Event-Id",
		Account: "Yardhall-Account", ExpectedWorker: "Yardhall-Expect-Worker", WorkerID: "Yardhall-Worker",
		CacheFrom: "Yardhall-Cache-From", Rank: "Yardhall-Rank", Load: "Yardhall-Load", NotRun: "Yardhall-Not-Run", Leaving: "Yardhall-Leaving", Signature: "Yardhall-Signature",
		Reserved: []string{"Yardhall-Reservation", "Yardhall-Keep-Cache", "Yardhall-Copy-To", "Yardhall-Copy-From", "Yardhall-Expect-Weights"},
	}
}

// ofHosts are the headers that a worker may only get from a host: what a caller says
// under these names is dropped, and what a worker repeats is kept from callers.
func (h Headers) ofHosts() []string {
	return append([]string{h.DeadlineMs, h.Account, h.ExpectedWorker, h.CacheFrom, h.Rank}, h.Reserved...)
}

// ofCaller are the headers that say what the caller asks for. They belong to the
// request, so that no Connection header takes them away.
func (h Headers) ofCaller() []string {
	return []string{h.RequestID, h.Model, h.Tokens, h.PromptParts, h.LastEventID}
}

// ofWorkers are the headers by which workers tell hosts, and not callers, about
// themselves.
func (h Headers) ofWorkers() []string { return []string{h.WorkerID, h.Load, h.NotRun} }

// connectionHeaders pertain to one connection and are never passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// passedOn returns the headers that do not pertain to one connection.
func passedOn(in http.Header) http.Header {
	out := make(http.Header, len(in))
	for name, values := range in {
		out[name] = values
	}
	for _, list := range in["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		delete(out, name)
	}
	return out
}

// drop takes headers away.
func drop(from http.Header, names []string) {
	for _, name := range names {
		from.Del(name)
	}
}

// toCaller returns the headers of a worker's answer that callers see.
func (h Headers) toCaller(in http.Header) http.Header {
	out := passedOn(in)
	drop(out, h.ofHosts())
	drop(out, h.ofWorkers())
	return out
}

// request reads what the core needs to know of a request.
func (h Headers) request(r *http.Request, now time.Time) requests.Request {
	out := requests.Request{
		ID: ident.Request(r.Header.Get(h.RequestID)), Host: r.Host, Path: r.URL.Path,
		Resumed: r.Header.Get(h.LastEventID) != "",
	}
	if key := keys.Bearer(r.Header.Get("Authorization")); key != "" {
		out.KeyHash = keys.Hash(key)
	}
	if ms, err := strconv.ParseInt(r.Header.Get(h.DeadlineMs), 10, 64); err == nil && ms >= 0 {
		out.Deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	out.Prompt.Model = ident.Model(r.Header.Get(h.Model))
	out.Prompt.TokensIn, out.Prompt.TokensOut = pair(r.Header.Get(h.Tokens))
	for part := range strings.SplitSeq(r.Header.Get(h.PromptParts), ",") {
		id, tokens, ok := strings.Cut(strings.TrimSpace(part), ":")
		if n, err := strconv.Atoi(tokens); ok && err == nil {
			out.Prompt.Parts = append(out.Prompt.Parts, requests.Part{ID: id, Tokens: n})
		}
	}
	return out
}

// digest is the hash of what a request consists of, its headers apart.
func digest(r *http.Request, body []byte) []byte {
	h := sha256.New()
	for _, part := range []string{r.Method, r.Host, r.URL.RequestURI()} {
		_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = io.WriteString(h, part)
	}
	_, _ = h.Write(body)
	return h.Sum(nil)
}

// pair reads two whole numbers joined by a comma; 0 for what is not there.
func pair(text string) (first, second int) {
	a, b, _ := strings.Cut(text, ",")
	first, _ = strconv.Atoi(strings.TrimSpace(a))
	second, _ = strconv.Atoi(strings.TrimSpace(b))
	return first, second
}

// load reads a worker's report of its load.
func (h Headers) load(in http.Header) requests.Load {
	running, rest, _ := strings.Cut(in.Get(h.Load), ",")
	var l requests.Load
	l.Running, _ = strconv.Atoi(strings.TrimSpace(running))
	l.Waiting, l.Slots = pair(rest)
	return l
}

// toWorker returns the headers of one try at a worker.
func (h Headers) toWorker(in http.Header, d requests.Dispatch, left time.Duration, lastEvent string) http.Header {
	out := passedOn(in)
	for _, name := range h.ofCaller() {
		if values, ok := in[name]; ok {
			out[name] = values
		}
	}
	drop(out, h.ofHosts())
	out.Del("Authorization")
	out.Set(h.RequestID, string(d.Request))
	if d.Account != "" {
		out.Set(h.Account, string(d.Account))
	}
	out.Set(h.DeadlineMs, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	out.Set(h.ExpectedWorker, string(d.Worker.ID))
	if d.CacheFrom != "" {
		out.Set(h.CacheFrom, d.CacheFrom)
	}
	if d.Engine {
		out.Set(h.Rank, strconv.Itoa(min(max(d.Rank, 0), lowestRank)))
	}
	if lastEvent != "" {
		out.Set(h.LastEventID, lastEvent)
	}
	return out
}

// lowestRank is the least urgent priority that engines know.
const lowestRank = 9
