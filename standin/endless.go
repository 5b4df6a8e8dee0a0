// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package standin

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// endlessPart is what is sent again and again until the caller closes.
type endlessPart struct {
	// start comes once, again without end.
	start string
	again string
	pause time.Duration
}

const (
	fillerBytes = 32 << 10
	// manyHeaderBytes is nearly a whole head.
	manyHeaderBytes = 60 << 10
	// dripPause is the pause between the parts of a slow body.
	dripPause = 20 * time.Millisecond
)

// endless returns the bytes without end of a fault; false for other faults.
func (w *Worker) endless(f WorkerFault, id string) (endlessPart, bool) {
	filler := strings.Repeat("x", fillerBytes)
	header := "X-Filler: " + strings.Repeat("x", 1<<10) + "\r\n"
	notRun := "HTTP/1.1 503 Service Unavailable\r\n" + w.names.RequestID + ": " + id + "\r\n" + w.names.NotRun + ": 1\r\n"
	events := "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	long := "Content-Length: 1000000000000\r\n\r\n"
	switch f { //nolint:exhaustive // All others end.
	case EndlessStatus:
		return endlessPart{start: "HTTP/1.1 200 ", again: filler}, true
	case EndlessHeader:
		return endlessPart{start: w.head(http.StatusOK, id) + "X-Filler: ", again: filler}, true
	case EndlessHeaders:
		return endlessPart{start: w.head(http.StatusOK, id), again: strings.Repeat(header, 32)}, true
	case EndlessInterim:
		return endlessPart{again: strings.Repeat("HTTP/1.1 103 Early Hints\r\n"+header+"\r\n", 32)}, true
	case EndlessDeclineHead:
		return endlessPart{start: notRun, again: strings.Repeat(header, 32)}, true
	case EndlessForeignBody:
		return endlessPart{start: w.head(http.StatusOK, "another-request") + long, again: filler}, true
	case EndlessBody:
		return endlessPart{start: w.head(http.StatusOK, id) + long, again: filler}, true
	case EndlessEvent:
		return endlessPart{start: w.head(http.StatusOK, id) + events, again: chunk(filler)}, true
	case EndlessChunkHead:
		return endlessPart{start: w.head(http.StatusOK, id) + events + "5;", again: filler}, true
	case EndlessShortHeaders:
		return endlessPart{start: w.head(http.StatusOK, id), again: shortHeaders(fillerBytes)}, true
	case ManyShortHeaders:
		return endlessPart{start: w.head(http.StatusOK, id) + shortHeaders(manyHeaderBytes) + events, again: chunk("x"), pause: dripPause}, true
	case DrippingHead:
		return endlessPart{start: w.head(http.StatusOK, id) + "X-Filler: ", again: "x", pause: dripPause}, true
	case DrippingDeclineBody:
		return endlessPart{start: notRun + long, again: "x", pause: dripPause}, true
	}
	return endlessPart{}, false
}

// shortHeaders returns different headers without a value, of a number of bytes together.
func shortHeaders(size int) string {
	var text strings.Builder
	for i := 0; text.Len() < size; i++ {
		text.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return text.String()
}

// isNotRun reports whether a fault without end says that the request was not run.
func (f WorkerFault) isNotRun() bool { return f == EndlessDeclineHead || f == DrippingDeclineBody }

// sendEndless sends until the caller closes or the worker stops.
func (w *Worker) sendEndless(conn net.Conn, p endlessPart) {
	if !write(conn, p.start) {
		return
	}
	for {
		n, err := io.WriteString(conn, p.again)
		w.mu.Lock()
		w.endlessBytes += int64(n)
		w.mu.Unlock()
		if err != nil {
			return
		}
		select {
		case <-w.stop:
			return
		case <-time.After(p.pause):
		}
	}
}

// EndlessBytes counts the bytes sent without end that the callers' systems have taken.
func (w *Worker) EndlessBytes() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endlessBytes
}
