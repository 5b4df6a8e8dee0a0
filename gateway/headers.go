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

// Headers holds the names of the HTTP headers that callers, hosts and workers exchange. The
// names depend on the platform, their values do not.
type Headers struct {
	// RequestID identifies one request of a caller; workers echo it in the response.
	RequestID string
	// DeadlineMs is how long the caller waits, in milliseconds.
	DeadlineMs string
	// Model, Tokens (IN,OUT) and PromptParts (ID:TOKENS,...) describe a prompt.
	Model       string
	Tokens      string
	PromptParts string
	// LastEventID is the id of the last event received of a stream that is resumed.
	LastEventID string
	// Resumes is the id of the request that brought the first event of a stream that is resumed.
	Resumes string
	// Account tells the worker the caller's account.
	Account string
	// ExpectedWorker is the id of the worker that a request is sent to; WorkerID that of the
	// worker that responds.
	ExpectedWorker string
	WorkerID       string
	// CacheFrom is the address of another engine that may have the prompt prefix cached.
	CacheFrom string
	// Rank is the priority of a request at an engine; 0 is the highest.
	Rank string
	// Load is a worker's load as RUNNING,WAITING,SLOTS.
	Load string
	// NotRun is set on a response if the worker did not run the request.
	NotRun string
	// Leaving is set on every response of a worker that is shutting down.
	Leaving string
	// Brittle is set by workers that crash if they must decline more than that number of requests in a
	// second.
	Brittle string
	// Signature is set on every response that comes from a worker and not from an
	// intermediary.
	Signature string
	// Reserved are further headers that only hosts may send to workers. They are removed
	// from callers' requests.
	Reserved []string
}

// DefaultHeaders returns yardhall's own header names.
func DefaultHeaders() Headers {
	return Headers{
		RequestID: "Yardhall-Request-Id", DeadlineMs: "Yardhall-Timeout-Ms", Model: "Yardhall-Model",
		Tokens: "Yardhall-Tokens", PromptParts: "Yardhall-Prompt-Parts", LastEventID: "Last-Event-Id", Resumes: "Yardhall-Resumes",
		Account: "Yardhall-Account", ExpectedWorker: "Yardhall-Expect-Worker", WorkerID: "Yardhall-Worker",
		CacheFrom: "Yardhall-Cache-From", Rank: "Yardhall-Rank", Load: "Yardhall-Load", NotRun: "Yardhall-Not-Run", Leaving: "Yardhall-Leaving", Brittle: "Yardhall-Brittle", Signature: "Yardhall-Signature",
		Reserved: []string{"Yardhall-Reservation", "Yardhall-Keep-Cache", "Yardhall-Copy-To", "Yardhall-Copy-From", "Yardhall-Expect-Weights"},
	}
}

// hostHeaders returns the headers that only hosts may set. They are removed from callers'
// requests and from workers' responses.
func (h Headers) hostHeaders() []string {
	return append([]string{h.DeadlineMs, h.Account, h.ExpectedWorker, h.CacheFrom, h.Rank}, h.Reserved...)
}

// callerHeaders returns the headers that describe the request. They are end-to-end: they are
// forwarded even if the caller lists them in its Connection header.
func (h Headers) callerHeaders() []string {
	return []string{h.RequestID, h.Model, h.Tokens, h.PromptParts, h.LastEventID, h.Resumes}
}

// workerHeaders returns the headers in which workers report their state to hosts. Callers do
// not get them.
func (h Headers) workerHeaders() []string { return []string{h.WorkerID, h.Load, h.NotRun, h.Brittle} }

// hopByHopHeaders apply to a single connection and are never forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEnd returns the headers of in without the hop-by-hop ones, including those that its
// Connection header lists.
func endToEnd(in http.Header) http.Header {
	out := make(http.Header, len(in))
	for name, values := range in {
		out[name] = values
	}
	for _, list := range in["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	return out
}

func deleteHeaders(from http.Header, names []string) {
	for _, name := range names {
		from.Del(name)
	}
}

// toCaller returns the headers of a worker's response that are forwarded to the caller.
func (h Headers) toCaller(in http.Header) http.Header {
	out := endToEnd(in)
	deleteHeaders(out, h.hostHeaders())
	deleteHeaders(out, h.workerHeaders())
	return out
}

// parseRequest extracts from r what the core decides on. Values that are missing or malformed
// stay zero.
func (h Headers) parseRequest(r *http.Request, now time.Time) requests.Request {
	out := requests.Request{
		ID: ident.Request(r.Header.Get(h.RequestID)), Host: r.Host, Path: r.URL.Path,
		Resumed: r.Header.Get(h.LastEventID) != "", Resumes: ident.Request(r.Header.Get(h.Resumes)),
	}
	if key := keys.Bearer(r.Header.Get("Authorization")); key != "" {
		out.KeyHash = keys.Hash(key)
	}
	if ms, err := strconv.ParseInt(r.Header.Get(h.DeadlineMs), 10, 64); err == nil && ms >= 0 {
		out.Deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	out.Prompt.Model = ident.Model(r.Header.Get(h.Model))
	out.Prompt.TokensIn, out.Prompt.TokensOut = parsePair(r.Header.Get(h.Tokens))
	for part := range strings.SplitSeq(r.Header.Get(h.PromptParts), ",") {
		id, tokens, ok := strings.Cut(strings.TrimSpace(part), ":")
		if n, err := strconv.Atoi(tokens); ok && err == nil {
			out.Prompt.Parts = append(out.Prompt.Parts, requests.Part{ID: id, Tokens: n})
		}
	}
	return out
}

// digest returns the SHA-256 of method, host, request URI and body. All parts but the body
// are prefixed by their length, so that the boundaries between them are unambiguous.
func digest(r *http.Request, body []byte) []byte {
	h := sha256.New()
	for _, part := range []string{r.Method, r.Host, r.URL.RequestURI()} {
		_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = io.WriteString(h, part)
	}
	_, _ = h.Write(body)
	return h.Sum(nil)
}

// parsePair parses two integers separated by a comma; missing or malformed ones are 0.
func parsePair(text string) (first, second int) {
	a, b, _ := strings.Cut(text, ",")
	first, _ = strconv.Atoi(strings.TrimSpace(a))
	second, _ = strconv.Atoi(strings.TrimSpace(b))
	return first, second
}

// parseLoad parses the load that a worker reports with a response.
func (h Headers) parseLoad(in http.Header) requests.Load {
	running, rest, _ := strings.Cut(in.Get(h.Load), ",")
	var l requests.Load
	l.Running, _ = strconv.Atoi(strings.TrimSpace(running))
	l.Waiting, l.Slots = parsePair(rest)
	return l
}

// toWorker returns the headers of a request that is sent to the worker of d. remaining is the
// time until the deadline.
func (h Headers) toWorker(in http.Header, d requests.Dispatch, remaining time.Duration, lastEventID string) http.Header {
	out := endToEnd(in)
	for _, name := range h.callerHeaders() {
		if values, ok := in[name]; ok {
			out[name] = values
		}
	}
	deleteHeaders(out, h.hostHeaders())
	out.Del("Authorization")
	out.Set(h.RequestID, string(d.Request))
	if d.Account != "" {
		out.Set(h.Account, string(d.Account))
	}
	out.Set(h.DeadlineMs, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	out.Set(h.ExpectedWorker, string(d.Worker.ID))
	if d.CacheFrom != "" {
		out.Set(h.CacheFrom, d.CacheFrom)
	}
	if d.Engine {
		out.Set(h.Rank, strconv.Itoa(min(max(d.Rank, 0), lowestRank)))
	}
	if lastEventID != "" {
		out.Set(h.LastEventID, lastEventID)
	}
	return out
}

// lowestRank is the lowest priority that engines support.
const lowestRank = 9
