//go:build soak

// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package soak

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/yardhall/yardhall/platform"
)

const (
	// surplusShare of the answers are followed by a response without an id where the next one is due,
	// endlessShare are replaced by bytes without end.
	surplusShare = 0.03
	endlessShare = 0.01
	// maxEndless bounds what a host may read of a response without end, with the buffers of the connections
	// and proxies in between. A worker stops at stopEndless.
	maxEndless  = 64 << 20
	stopEndless = 128 << 20
	// endlessTime is how long a worker sends without end, dripPause the pause between slow bytes.
	endlessTime = 4 * time.Second
	dripPause   = 20 * time.Millisecond
)

// beginRequest makes what is to be sent later due ahead of the answer to the request that has been read.
func (c *wireConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.due = append(c.due, c.later...)
	c.later = nil
}

// sendLater has p sent ahead of the answer to the next request.
func (c *wireConn) sendLater(p string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.later = []byte(p)
}

// drawIndex draws one of n faults of the wire.
func (w *soakWorker) drawIndex(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.wires.IntN(n)
}

// surplusResponse draws a response without an id.
func (w *soakWorker) surplusResponse() string {
	names := platform.Headers()
	lines := []string{
		"503 Service Unavailable\r\n" + names.NotRun + ": 1", "429 Too Many Requests\r\n" + names.NotRun + ": 1",
		"400 Bad Request\r\n" + names.NotRun + ": 1", "421 Misdirected Request\r\n" + names.WorkerID + ": another",
	}
	return "HTTP/1.1 " + lines[w.drawIndex(len(lines))] + "\r\nContent-Length: 0\r\n\r\n"
}

// sendEndless answers by bytes without end: a status line, a header, the body of another answer, or slowly the body of a
// failure.
func (w *soakWorker) sendEndless(out http.ResponseWriter, id string) {
	names := platform.Headers()
	filler := strings.Repeat("x", 32<<10)
	kinds := []struct {
		start, again string
		pause        time.Duration
	}{
		{"HTTP/1.1 200 ", filler, 0},
		{"HTTP/1.1 200 OK\r\nX-Filler: ", filler, 0},
		{fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: another\r\nContent-Length: 1000000000000\r\n\r\n", names.RequestID), filler, 0},
		{fmt.Sprintf("HTTP/1.1 500 Failed\r\n%s: %s\r\nContent-Length: 1000000000000\r\n\r\n", names.RequestID, id), "x", dripPause},
	}
	kind := kinds[w.drawIndex(len(kinds))]
	conn, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(endlessTime))
	var sent int64
	_, err = io.WriteString(conn, kind.start)
	for err == nil && sent < stopEndless {
		var n int
		n, err = io.WriteString(conn, kind.again)
		sent += int64(n)
		time.Sleep(kind.pause)
	}
	w.runs.mu.Lock()
	defer w.runs.mu.Unlock()
	w.runs.endless = append(w.runs.endless, sent)
}

// endlessRead reports responses without end of which hosts read too much.
func (r *runs) endlessRead() (out []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.endless {
		if n > maxEndless {
			out = append(out, fmt.Sprintf("%d KB of a response without end were read", n>>10))
		}
	}
	return out
}
