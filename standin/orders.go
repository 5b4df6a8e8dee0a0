// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

type loadReport struct {
	Boot     uint64    `json:"boot"`
	Seq      uint64    `json:"seq"`
	Time     time.Time `json:"time"`
	InFlight int       `json:"in_flight"`
	Leaving  bool      `json:"leaving"`
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	silent := e.faults.SilentReports
	e.seq++
	report := loadReport{
		Boot: e.options.Boot, Seq: e.seq, Time: time.Now(), InFlight: e.inFlight, Leaving: e.leaving,
	}
	e.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	writeJSON(w, report)
}

type engineState struct {
	Models []string `json:"models"`
	Token  uint64   `json:"token"`
}

func (e *Engine) state(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	s := engineState{Models: slices.Clone(e.models), Token: e.token}
	e.mu.Unlock()
	writeJSON(w, s)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

type orderBody struct {
	Token  uint64 `json:"token"`
	Action string `json:"action"`
	Model  string `json:"model"`
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o orderBody
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, "bad order", http.StatusBadRequest)
		return
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	pause(r.Context(), e.options.LoadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksFence && o.Token <= e.token {
		e.stats.StaleOrders++
		http.Error(w, "the token is not the highest", http.StatusConflict)
		return
	}
	e.token = max(e.token, o.Token)
	e.stats.Orders++
	e.models = slices.DeleteFunc(e.models, func(m string) bool { return m == o.Model })
	if o.Action == "load" {
		e.models = append(e.models, o.Model)
	}
	writeJSON(w, engineState{Models: e.models, Token: e.token})
}
