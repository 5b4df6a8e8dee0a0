// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/yardhall/yardhall/callers"
	"github.com/yardhall/yardhall/site"
	"github.com/yardhall/yardhall/standin"
)

// load sends returning chats to a set of addresses.
type load struct {
	options Options
	urls    []string
	key     string
	engines []*standin.Engine
	name    string
	// direct is true where the addresses are engines.
	direct bool
	events []event

	next     atomic.Int64
	requests atomic.Int64
	failed   atomic.Int64
	cached   atomic.Int64
	prompt   atomic.Int64
	// firstFailure is the first failed answer, as a string.
	firstFailure atomic.Value
	samples      []float64
	sampled      int
}

type event struct {
	share float64
	do    func()
}

// at lets something happen after a share of the run's time.
func (l *load) at(share float64, do func()) { l.events = append(l.events, event{share: share, do: do}) }

const (
	sampleTime = 10 * time.Millisecond
	seed       = 7
	turnBytes  = 900
	answerLen  = 24
	thinkTime  = 120 * time.Millisecond
)

// run sends for the set time and returns the figures.
func (l *load) run(ctx context.Context) Figures {
	ctx, cancel := context.WithTimeout(ctx, l.options.Time)
	defer cancel()
	l.samples = make([]float64, len(l.engines))
	var wg sync.WaitGroup
	for _, e := range l.events {
		wg.Go(func() {
			time.Sleep(time.Duration(e.share * float64(l.options.Time)))
			e.do()
		})
	}
	for i := range l.options.Chats {
		wg.Go(func() { l.chat(ctx, i) })
	}
	l.watch(ctx)
	wg.Wait()
	return l.figures()
}

// watch samples the engines and shows progress.
func (l *load) watch(ctx context.Context) {
	ticker := time.NewTicker(sampleTime)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			_, _ = fmt.Fprintln(l.options.Out)
			return
		case <-ticker.C:
		}
		l.sampled++
		for i, e := range l.engines {
			l.samples[i] += float64(e.InFlight())
		}
		if n%100 == 0 {
			_, _ = fmt.Fprintf(l.options.Out, "\r%s: %d requests, %d failed", l.name, l.requests.Load(), l.failed.Load())
		}
	}
}

func (l *load) figures() Figures {
	f := Figures{Requests: int(l.requests.Load()), Failed: int(l.failed.Load())}
	f.FirstFailure, _ = l.firstFailure.Load().(string)
	if l.prompt.Load() > 0 {
		f.Reuse = float64(l.cached.Load()) / float64(l.prompt.Load())
	}
	var sum, most float64
	live := 0
	for i, v := range l.samples {
		if i == 1 || i == 2 {
			// The engines that died and drained.
			continue
		}
		live++
		sum += v
		most = max(most, v)
	}
	if sum > 0 {
		f.Skew = most * float64(live) / sum
	}
	return f
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

// chat is one chat that returns until the time is over, each turn with all
// that was said before.
func (l *load) chat(ctx context.Context, i int) {
	r := rand.New(rand.NewPCG(seed, uint64(i))) //nolint:gosec // A demo repeats itself on purpose.
	for ctx.Err() == nil {
		body := chatBody{Model: site.Model, MaxTokens: answerLen}
		name := strconv.FormatUint(r.Uint64(), 36)
		for turn := 0; turn < 8 && ctx.Err() == nil; turn++ {
			question := strings.Repeat(fmt.Sprintf("%s turn %d; ", name, turn), turnBytes/len(name))
			body.Messages = append(body.Messages, chatMessage{Role: "user", Content: question})
			answer, ok := l.turn(ctx, body, turn > 0)
			if !ok {
				break
			}
			body.Messages = append(body.Messages, chatMessage{Role: "assistant", Content: answer})
			time.Sleep(time.Duration(r.Int64N(int64(2 * thinkTime))))
		}
	}
}

type chatAnswer struct {
	Choices []struct {
		Message chatMessage `json:"message"`
	} `json:"choices"`
}

func (l *load) turn(ctx context.Context, body chatBody, returning bool) (string, bool) {
	text, err := json.Marshal(body)
	if err != nil {
		return "", false
	}
	url := l.urls[int(l.next.Add(1))%len(l.urls)]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(text))
	if err != nil {
		return "", false
	}
	req.Header.Set("Authorization", "Bearer "+l.key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if ctx.Err() != nil {
		if err == nil {
			_ = resp.Body.Close()
		}
		return "", false
	}
	l.requests.Add(1)
	if err != nil {
		l.failed.Add(1)
		return "", false
	}
	defer func() { _ = resp.Body.Close() }()
	var a chatAnswer
	text, err = io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || json.Unmarshal(text, &a) != nil || len(a.Choices) == 0 {
		if ctx.Err() == nil {
			l.fail(resp.Status, text)
		}
		return "", false
	}
	if returning {
		l.cached.Add(headerNumber(resp, "X-Yardhall-Cached-Tokens"))
		l.prompt.Add(headerNumber(resp, "X-Yardhall-Prompt-Tokens"))
	}
	return a.Choices[0].Message.Content, true
}

// fail counts a failed request and keeps the first answer for the report.
func (l *load) fail(status string, text []byte) {
	if l.failed.Add(1) == 1 {
		l.firstFailure.Store(status + " " + string(text[:min(len(text), maxShown)]))
	}
}

// maxShown bounds what the report shows of a failed answer.
const maxShown = 300

func headerNumber(resp *http.Response, name string) int64 {
	n, err := strconv.ParseInt(resp.Header.Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

const (
	onceCalls = 20
	resends   = 2
)

// once sends calls that must not run twice, each again at other hosts, and
// counts what the workers ran.
func once(ctx context.Context, s *site.Site) OnceFigures {
	f := OnceFigures{Sent: onceCalls}
	markers := make([]string, onceCalls)
	var wg sync.WaitGroup
	for i := range onceCalls {
		markers[i] = uuid.Must(uuid.NewV7()).String()
		for again := range resends + 1 {
			wg.Go(func() { sendOnce(ctx, s.URL((i+again)%len(s.Hosts)), s.AccountKey, markers[i]) })
		}
	}
	wg.Wait()
	for _, m := range markers {
		runs := 0
		for _, w := range s.Workers {
			runs += w.Runs()[m]
		}
		switch runs {
		case 0:
			f.NotRun++
		case 1:
			f.RunOnce++
		default:
			f.RunMore++
		}
	}
	return f
}

func sendOnce(ctx context.Context, url, key, marker string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/services/floor/once/wave", strings.NewReader(marker))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set(callers.HeaderIdempotencyKey, marker)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}
