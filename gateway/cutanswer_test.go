// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/registry"
	"github.com/yardhall/yardhall/core/requests"
	"github.com/yardhall/yardhall/standin"
)

// answerForm is a way to frame an answer. The answer to request id is head(id) followed by rest.
type answerForm struct {
	path string
	head func(id string) string
	rest string
	// body is what the caller gets of the whole answer, with status.
	status int
	body   string
	// endsWithConnection is set if every end of the connection behind the head ends the answer.
	endsWithConnection bool
	// headDecides is set if the rest of the answer changes nothing.
	headDecides bool
}

// signedHead returns the head of an answer with further header lines.
func signedHead(status string, lines ...string) func(string) string {
	return func(id string) string {
		return "HTTP/1.1 " + status + "\r\n" + names.RequestID + ": " + id + "\r\n" + names.Signature + ": stamp\r\n" +
			strings.Join(append(lines, "\r\n"), "\r\n")
	}
}

func answerForms() map[string]answerForm {
	const text, chunked = "a whole body", "Transfer-Encoding: chunked"
	length := fmt.Sprintf("Content-Length: %d", len(text))
	events := "c\r\nid: 1\ndata\n\n\r\nc\r\nid: 2\ndata\n\n\r\n0\r\n\r\n"
	interim := func(id string) string {
		return "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + signedHead("200 OK", length)(id)
	}
	return map[string]answerForm{
		"length":   {path: "/unsafe/x", head: signedHead("200 OK", length), rest: text, status: http.StatusOK, body: text},
		"empty":    {path: "/unsafe/x", head: signedHead("200 OK", "Content-Length: 0"), status: http.StatusOK},
		"chunks":   {path: "/unsafe/x", head: signedHead("200 OK", chunked), rest: "c\r\n" + text + "\r\n0\r\n\r\n", status: http.StatusOK, body: text},
		"trailers": {path: "/unsafe/x", head: signedHead("200 OK", chunked, "Trailer: Sum"), rest: "c\r\n" + text + "\r\n0\r\nSum: 7\r\n\r\n", status: http.StatusOK, body: text},
		"interim":  {path: "/unsafe/x", head: interim, rest: text, status: http.StatusOK, body: text},
		"failure":  {path: "/unsafe/x", head: signedHead("500 Internal Server Error", length), rest: text, status: http.StatusInternalServerError, body: text},
		"unframed": {path: "/unsafe/x", head: signedHead("200 OK"), rest: text, status: http.StatusOK, body: text, endsWithConnection: true},
		"decline":  {path: "/unsafe/x", head: signedHead("503 Service Unavailable", names.NotRun+": 1", length), rest: text, status: http.StatusServiceUnavailable, headDecides: true},
		"stream":   {path: "/stream/once/x", head: signedHead("200 OK", chunked), rest: events, status: http.StatusOK, body: "id: 1\ndata\n\nid: 2\ndata\n\n"},
		"unframed stream": {
			path: "/stream/once/x", head: signedHead("200 OK"), rest: "id: 1\ndata\n\nid: 2\ndata\n\n", status: http.StatusOK,
			body: "id: 1\ndata\n\nid: 2\ndata\n\n", endsWithConnection: true,
		},
	}
}

// cuttingWorker answers with the first bytes of an answer, and closes or resets the connection.
type cuttingWorker struct {
	mu sync.Mutex
	// form is how requests are answered, cut the number of bytes sent. Without a form they are answered whole.
	form  *answerForm
	cut   int
	reset bool
}

func (w *cuttingWorker) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go w.serve(conn)
	}
}

func (w *cuttingWorker) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		w.mu.Lock()
		form, cut, reset := w.form, w.cut, w.reset
		w.mu.Unlock()
		id := request.Header.Get(names.RequestID)
		if form == nil {
			_, _ = io.WriteString(conn, signedHead("200 OK", "Content-Length: 0")(id))
			continue
		}
		_, _ = io.WriteString(conn, (form.head(id) + form.rest)[:cut])
		if tcp, ok := conn.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
		return
	}
}

func (w *cuttingWorker) set(form *answerForm, cut int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.form, w.cut = form, cut
}

// startCutting starts a cuttingWorker as the only worker of the testbed.
func (b *testbed) startCutting(reset bool) *cuttingWorker {
	l := listenLocal(b.t)
	w := &cuttingWorker{reset: reset}
	go w.accept(l)
	b.core.Decide(requests.Registered{Workers: []registry.Worker{{ID: "w", Pool: "pool", Address: l.Addr().String(), Slots: 4, Seq: 1}}})
	return w
}

// TestAnswerCutAtAnyByteIsNotTakenForWhole guards against an answer that looks whole to the caller, or that is taken
// for a promise that the request has not run, although the worker closed within it.
func TestAnswerCutAtAnyByteIsNotTakenForWhole(t *testing.T) {
	for name, form := range answerForms() {
		for _, way := range []string{"new connection", "kept connection", "tunnel"} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/reset=%t", name, way, reset), func(t *testing.T) {
					t.Parallel()
					b := newTestbed(t, 0)
					w := b.startCutting(reset)
					if way == "tunnel" {
						b.sendingVia("current")
					}
					length := len(form.head("request-1000") + form.rest)
					b.number = 1000
					for cut := range length + 1 {
						if way == "kept connection" {
							w.set(nil, 0)
							status, text, _, err := b.call("/unsafe/x", "warm")
							require.NoError(t, err)
							require.Equal(t, http.StatusOK, status, text)
						}
						w.set(&form, cut)
						b.requireCutIsSeen(form, cut, length, reset)
					}
				})
			}
		}
	}
}

// requireCutIsSeen sends a request whose answer ends after cut bytes of length.
func (b *testbed) requireCutIsSeen(form answerForm, cut, length int, reset bool) {
	status, text, _, err := b.call(form.path, "body")
	headEnd := length - len(form.rest)
	switch {
	case cut == length && !reset:
		require.NoError(b.t, err)
		require.Equal(b.t, form.status, status, text)
		if !form.headDecides {
			require.Equal(b.t, form.body, text)
		}
	case cut >= headEnd && form.headDecides, cut >= headEnd && form.endsWithConnection && !reset, cut == length && !form.endsWithConnection:
		// The end of the answer cannot be told from a cut, or is none.
	case err == nil:
		require.NotEqual(b.t, form.status, status, "after %d of %d bytes: %s", cut, length, text)
		require.NotContains(b.t, promisesNotRun, status, "after %d of %d bytes: %s", cut, length, text)
	default:
		require.True(b.t, strings.HasPrefix(form.body, text), "after %d of %d bytes: %s", cut, length, text)
	}
}

// TestRepeatableRequestIsServedDespiteCutHead guards against failing a request that may be repeated because a worker
// closes within the head of its answer.
func TestRepeatableRequestIsServedDespiteCutHead(t *testing.T) {
	form := answerForms()["length"]
	head := form.head("request-1000")
	for cut := range len(head) {
		b := newTestbed(t, 1)
		b.number = 1000
		b.startCutting(false).set(&form, cut)
		status, text, _, err := b.call("/safe/x", "")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, "after %d of %d bytes: %s", cut, len(head), text)
		require.Equal(t, standin.WorkerBody, text)
	}
}
