// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Service is one worker of a fake plain service. It counts what it ran.
type Service struct {
	listener net.Listener
	server   *http.Server
	took     time.Duration
	mu       sync.Mutex
	runs     map[string]int
	boot     uint64
	seq      uint64
	inFlight int
	cut      bool
	status   string
}

// StartService starts a worker on address whose calls take so long.
func StartService(address string, took time.Duration) (*Service, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("start service: %w", err)
	}
	s := &Service{listener: l, took: took, runs: map[string]int{}, boot: uint64(time.Now().UnixNano())}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /yardhall/load", s.load)
	mux.HandleFunc("/", s.call)
	s.server = &http.Server{Handler: mux} //nolint:gosec // A fake on loopback needs no header timeout.
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Address is where the worker listens, as ip:port.
func (s *Service) Address() string { return s.listener.Addr().String() }

// Close stops the worker at once.
func (s *Service) Close() { _ = s.server.Close() }

// Runs returns how often each marker (the body of a call) was run.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, v := range s.runs {
		out[k] = v
	}
	return out
}

// SetCut makes the worker run calls and break the connection before it
// answers.
func (s *Service) SetCut(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = cut
}

// SetStatus makes the worker run calls and answer with a status line of its own, such as "000 Odd"; empty for sound answers.
func (s *Service) SetStatus(status string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = status
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	s.mu.Lock()
	s.runs[string(body)]++
	s.inFlight++
	cut, status := s.cut, s.status
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.inFlight--
		s.mu.Unlock()
	}()
	time.Sleep(s.took)
	if cut {
		panic(http.ErrAbortHandler)
	}
	if status != "" {
		answerRaw(w, fmt.Sprintf("HTTP/1.1 %s\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", status, r.Header.Get("X-Request-Id")))
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = fmt.Fprintf(w, "%s %s done: %s", r.Method, r.URL.Path, body) //nolint:gosec // Plain text of a fake.
}

// answerRaw answers with bytes of its own.
func answerRaw(w http.ResponseWriter, answer string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, answer)
}

func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.seq++
	report := loadReport{Boot: s.boot, Seq: s.seq, Time: time.Now(), InFlight: s.inFlight}
	s.mu.Unlock()
	writeJSON(w, report)
}
