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
	// FreshConnection forbids reused connections.
	FreshConnection bool
	// Streamed is true where the caller asked for server-sent events.
	Streamed bool
	// Sink takes the answer.
	Sink Sink
}

// Sink is the caller's end of an answer. Begin is called once, before the
// first Write.
type Sink interface {
	Begin(status int, header http.Header) error
	Write(p []byte) error
}

// errCaller marks an error of the sink, which is the caller's and not the
// target's.
var errCaller = errors.New("the caller cannot be written to")

// Do makes one attempt and says how it ended. An answer that is not streamed
// reaches the sink only once it is whole.
func (c *Client) Do(ctx context.Context, x Exchange) outcome.Attempt {
	attempt, cancel := context.WithCancel(ctx)
	defer cancel()
	stall := time.AfterFunc(c.options.StallTimeout, cancel)
	defer stall.Stop()
	resp, touched, err := c.send(attempt, x)
	if err != nil {
		return c.failed(ctx, touched, false, err)
	}
	defer closeBody(resp)
	if got := resp.Header.Get(HeaderRequestID); got != string(x.Request) {
		// The answer belongs to another request: drop it and its connection.
		c.Mismatched.Add(1)
		return outcome.Interrupted{Reason: "the answer carries the id of another request"}
	}
	if reason := resp.Header.Get(HeaderDeclined); reason != "" {
		return outcome.Declined{
			Reason: reason, Leaving: reason == DeclinedLeaving, RetryAfter: retryafter.Of(resp.Header, clock.Now()),
		}
	}
	if x.Streamed && resp.StatusCode == http.StatusOK {
		result := c.stream(ctx, x, resp, stall)
		if _, left := result.(outcome.Abandoned); left {
			c.cancel(x)
		}
		return result
	}
	return c.whole(ctx, x, resp)
}

// failed classifies an error: the caller's leaving, nothing sent, or broken.
func (c *Client) failed(ctx context.Context, touched, begun bool, err error) outcome.Attempt {
	switch {
	case errors.Is(ctx.Err(), context.Canceled) || errors.Is(err, errCaller):
		return outcome.Abandoned{Sent: touched}
	case !touched:
		return outcome.NeverSent{Reason: short(err), ConnectRefused: IsConnRefused(err)}
	default:
		return outcome.Interrupted{Reason: short(err), AnswerStarted: begun}
	}
}

// IsConnRefused tells whether no process listens where a connection was to lead.
func IsConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func short(err error) string {
	text := errors.Cause(err).Error()
	return text[:min(len(text), maxReason)]
}

func (c *Client) whole(ctx context.Context, x Exchange, resp *http.Response) outcome.Attempt {
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.options.MaxResponse+1))
	if err != nil {
		return c.failed(ctx, true, false, err)
	}
	if int64(len(body)) > c.options.MaxResponse {
		return outcome.Interrupted{Reason: "the answer is too large"}
	}
	if err := x.Sink.Begin(resp.StatusCode, resp.Header); err != nil {
		return outcome.Abandoned{Sent: true}
	}
	// The target's answer is whole; whether the caller still reads it does not
	// change that it ran.
	_ = x.Sink.Write(body)
	return answered(resp)
}

func answered(resp *http.Response) outcome.Answered {
	return outcome.Answered{
		Status:       resp.StatusCode,
		CachedTokens: number(resp.Header.Get(HeaderCached)),
		PromptTokens: number(resp.Header.Get(HeaderPrompt)),
	}
}

func number(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}

var (
	dataPrefix = []byte("data:")
	doneMark   = []byte("[DONE]")
)

// maxEventLine bounds one line of a stream.
const maxEventLine = 1 << 20

// stream passes events on line by line and holds back the end mark, so that
// the caller sees it only of a whole answer. A stream that breaks is resumed on
// its engine, which goes on with it for a while.
func (c *Client) stream(ctx context.Context, x Exchange, resp *http.Response, stall *time.Timer) outcome.Attempt {
	p := &streamPass{client: c, exchange: x, stall: stall}
	for tries := 0; ; tries++ {
		err := p.pass(resp)
		if err == nil {
			return answered(resp)
		}
		if errors.Is(err, errCaller) || ctx.Err() != nil || tries == maxResumes || !p.begun {
			return c.failed(ctx, true, p.begun, err)
		}
		next, resumeErr := p.resume(ctx)
		if resumeErr != nil {
			return c.failed(ctx, true, p.begun, errors.Wrap(err, resumeErr.Error()))
		}
		defer closeBody(next)
		c.Resumed.Add(1)
		resp = next
	}
}

// maxResumes bounds how often one stream is taken up again.
const maxResumes = 2

// streamPass is the passing on of one stream, over several connections if
// need be.
type streamPass struct {
	client   *Client
	exchange Exchange
	stall    *time.Timer
	begun    bool
	// events counts the events passed on; open is true after an event's line
	// until its blank line.
	events int
	open   bool
}

// pass hands lines to the caller until the end mark or an error.
func (p *streamPass) pass(resp *http.Response) error {
	lines := bufio.NewReaderSize(resp.Body, 4<<10)
	for {
		line, err := readLine(lines)
		if err != nil {
			return err
		}
		p.stall.Reset(p.client.options.StallTimeout)
		if !p.begun {
			if err := p.exchange.Sink.Begin(resp.StatusCode, resp.Header); err != nil {
				return errCaller
			}
			p.begun = true
		}
		if isDone(line) {
			// The target's answer is whole, whether the caller still reads it or not.
			_ = p.exchange.Sink.Write([]byte("data: [DONE]\n\n"))
			return nil
		}
		if err := p.exchange.Sink.Write(line); err != nil {
			return errCaller
		}
		p.count(line)
	}
}

func (p *streamPass) count(line []byte) {
	if bytes.HasPrefix(line, dataPrefix) {
		p.events++
	}
	p.open = len(bytes.TrimSpace(line)) > 0
}

// resume asks the engine for the rest of the stream, after the events that the
// caller has.
func (p *streamPass) resume(ctx context.Context) (*http.Response, error) {
	x := p.exchange
	x.Method, x.Body, x.FreshConnection = http.MethodGet, nil, true
	x.Path = PathStream + string(x.Request) + "?from=" + strconv.Itoa(p.events)
	resp, _, err := p.client.send(ctx, x)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK || resp.Header.Get(HeaderRequestID) != string(x.Request) {
		closeBody(resp)
		return nil, errors.New("the engine does not resume it")
	}
	if p.open {
		// The blank line that ends the last event was lost.
		p.open = false
		if err := p.exchange.Sink.Write([]byte("\n")); err != nil {
			closeBody(resp)
			return nil, errCaller
		}
	}
	return resp, nil
}

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
	return ok && bytes.Equal(bytes.TrimSpace(rest), doneMark)
}

// cancelTimeout bounds the word to an engine that its caller has left.
const cancelTimeout = 2 * time.Second

// cancel tells an engine that nobody waits for a stream any more; it would
// keep it for a resume otherwise.
func (c *Client) cancel(x Exchange) {
	ctx, done := context.WithTimeout(context.Background(), cancelTimeout)
	defer done()
	x.Method, x.Body, x.FreshConnection = http.MethodPost, nil, true
	x.Path = PathCancel + string(x.Request)
	if resp, _, err := c.send(ctx, x); err == nil {
		closeBody(resp)
	}
}
