// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package targets

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/common/clock"
	"github.com/yardhall/yardhall/common/retryafter"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/outcome"
)

// Exchange is one attempt of a caller's request on a target.
type Exchange struct {
	Request ident.Request
	Target  Endpoint
	Method  string
	Path    string
	Header  http.Header
	Body    []byte
	// FreshConnection sends the request on a new connection instead of a pooled one.
	FreshConnection bool
	// Streamed is set if the caller requested server-sent events.
	Streamed bool
	// Sink receives the response.
	Sink Sink
}

// Sink forwards a response to the caller. Begin is called once, before the first Write.
type Sink interface {
	Begin(status int, header http.Header) error
	Write(p []byte) error
}

// errCallerWrite is returned if the sink fails, which is not the target's fault.
var errCallerWrite = errors.New("write to caller failed")

// Do makes one attempt and returns its outcome. A response that is not streamed is passed to
// the sink only once it is complete.
func (c *Client) Do(ctx context.Context, x Exchange) outcome.Attempt {
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stallTimer := time.AfterFunc(c.options.StallTimeout, cancel)
	defer stallTimer.Stop()
	resp, connected, err := c.send(attemptCtx, x)
	if err != nil {
		return c.classifyError(ctx, connected, false, err)
	}
	defer closeBody(resp)
	if got := resp.Header.Get(HeaderRequestID); got != string(x.Request) {
		// The response belongs to another request; its unread body also closes the connection.
		c.Mismatched.Add(1)
		return outcome.Interrupted{Reason: "response has the id of another request"}
	}
	if reason := resp.Header.Get(HeaderDeclined); reason != "" {
		return outcome.Declined{
			Reason: reason, Leaving: reason == DeclinedLeaving, RetryAfter: retryafter.Of(resp.Header, clock.Now()),
		}
	}
	if x.Streamed && resp.StatusCode == http.StatusOK {
		result := c.forwardStream(ctx, x, resp, stallTimer)
		if _, abandoned := result.(outcome.Abandoned); abandoned {
			c.cancelStream(x)
		}
		return result
	}
	return c.forwardBuffered(ctx, x, resp)
}

// classifyError returns the outcome of a failed attempt: Abandoned if the caller left, NeverSent
// if no connection was obtained, Interrupted otherwise. ctx is the caller's, without the stall timeout.
func (c *Client) classifyError(ctx context.Context, connected, headerSent bool, err error) outcome.Attempt {
	switch {
	case errors.Is(ctx.Err(), context.Canceled) || errors.Is(err, errCallerWrite):
		return outcome.Abandoned{Sent: connected}
	case !connected:
		return outcome.NeverSent{Reason: shortReason(err), ConnectRefused: IsConnRefused(err)}
	default:
		return outcome.Interrupted{Reason: shortReason(err), AnswerStarted: headerSent}
	}
}

// IsConnRefused reports whether a dial was refused because no process listens there.
func IsConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// shortReason returns the text of the root cause of err, cut to maxReason bytes.
func shortReason(err error) string {
	text := errors.Cause(err).Error()
	return text[:min(len(text), maxReason)]
}

// forwardBuffered reads the complete response and passes it to the sink.
func (c *Client) forwardBuffered(ctx context.Context, x Exchange, resp *http.Response) outcome.Attempt {
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.options.MaxResponse+1))
	if err != nil {
		return c.classifyError(ctx, true, false, err)
	}
	if int64(len(body)) > c.options.MaxResponse {
		return outcome.Interrupted{Reason: "response body exceeds the size limit"}
	}
	if err := x.Sink.Begin(resp.StatusCode, resp.Header); err != nil {
		return outcome.Abandoned{Sent: true}
	}
	// The target ran the request, whether or not this write reaches the caller.
	_ = x.Sink.Write(body)
	return answeredResult(resp)
}

func answeredResult(resp *http.Response) outcome.Answered {
	return outcome.Answered{
		Status:       resp.StatusCode,
		CachedTokens: parseCount(resp.Header.Get(HeaderCached)),
		PromptTokens: parseCount(resp.Header.Get(HeaderPrompt)),
	}
}

// parseCount parses a decimal number; malformed ones are 0.
func parseCount(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// maxEventLine bounds one line of a stream, in bytes.
const maxEventLine = 1 << 20

// forwardStream forwards a stream line by line. The caller gets the end marker only if the
// stream is complete. A stream whose connection breaks is resumed on its engine, which keeps
// generating it for a while.
func (c *Client) forwardStream(ctx context.Context, x Exchange, resp *http.Response, stallTimer *time.Timer) outcome.Attempt {
	forwarder := &streamForwarder{client: c, exchange: x, stallTimer: stallTimer}
	for resumes := 0; ; resumes++ {
		err := forwarder.forward(resp)
		if err == nil {
			return answeredResult(resp)
		}
		if errors.Is(err, errCallerWrite) || ctx.Err() != nil || resumes == maxResumes || !forwarder.headerSent {
			return c.classifyError(ctx, true, forwarder.headerSent, err)
		}
		next, resumeErr := forwarder.resume(ctx)
		if resumeErr != nil {
			return c.classifyError(ctx, true, forwarder.headerSent, errors.Wrap(err, resumeErr.Error()))
		}
		defer closeBody(next)
		c.Resumed.Add(1)
		resp = next
	}
}

// maxResumes bounds how often one stream is resumed.
const maxResumes = 2

// streamForwarder forwards one stream, which may be resumed on further connections.
type streamForwarder struct {
	client     *Client
	exchange   Exchange
	stallTimer *time.Timer
	headerSent bool
	// events is the number of events forwarded; inEvent is set between the first line of an
	// event and the blank line that ends it.
	events  int
	inEvent bool
}

// forward copies lines to the caller until the end marker or an error.
func (f *streamForwarder) forward(resp *http.Response) error {
	lines := bufio.NewReaderSize(resp.Body, 4<<10)
	for {
		line, err := readLine(lines)
		if err != nil {
			return err
		}
		f.stallTimer.Reset(f.client.options.StallTimeout)
		if !f.headerSent {
			if err := f.exchange.Sink.Begin(resp.StatusCode, resp.Header); err != nil {
				return errCallerWrite
			}
			f.headerSent = true
		}
		if isDone(line) {
			// The target ran the request, whether or not this write reaches the caller.
			_ = f.exchange.Sink.Write([]byte("data: [DONE]\n\n"))
			return nil
		}
		if err := f.exchange.Sink.Write(line); err != nil {
			return errCallerWrite
		}
		f.trackEvent(line)
	}
}

// trackEvent updates the position in the stream after a line was forwarded.
func (f *streamForwarder) trackEvent(line []byte) {
	if bytes.HasPrefix(line, dataPrefix) {
		f.events++
	}
	f.inEvent = len(bytes.TrimSpace(line)) > 0
}

// resume requests the rest of the stream from the engine, after the events forwarded so far.
func (f *streamForwarder) resume(ctx context.Context) (*http.Response, error) {
	x := f.exchange
	x.Method, x.Body, x.FreshConnection = http.MethodGet, nil, true
	x.Path = PathStream + string(x.Request) + "?from=" + strconv.Itoa(f.events)
	resp, _, err := f.client.send(ctx, x)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK || resp.Header.Get(HeaderRequestID) != string(x.Request) {
		closeBody(resp)
		return nil, errors.New("engine did not resume the stream")
	}
	if f.inEvent {
		// The connection broke before the blank line that ends the last event.
		f.inEvent = false
		if err := f.exchange.Sink.Write([]byte("\n")); err != nil {
			closeBody(resp)
			return nil, errCallerWrite
		}
	}
	return resp, nil
}

// readLine reads a line including its line feed. It bounds the line's length by maxEventLine.
func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if err == nil {
			return line, nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) || len(line) > maxEventLine {
			return nil, errors.Wrap(err, "read stream")
		}
	}
}

func isDone(line []byte) bool {
	rest, ok := bytes.CutPrefix(line, dataPrefix)
	return ok && bytes.Equal(bytes.TrimSpace(rest), doneMarker)
}

const cancelTimeout = 2 * time.Second

// cancelStream tells an engine that the caller of a stream has disconnected. Otherwise the
// engine would keep generating it for a resume.
func (c *Client) cancelStream(x Exchange) {
	ctx, done := context.WithTimeout(context.Background(), cancelTimeout)
	defer done()
	x.Method, x.Body, x.FreshConnection = http.MethodPost, nil, true
	x.Path = PathCancel + string(x.Request)
	if resp, _, err := c.send(ctx, x); err == nil {
		closeBody(resp)
	}
}
