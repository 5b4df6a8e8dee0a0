// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package requests

import (
	"time"

	"github.com/yardhall/yardhall/core/crashes"
)

// A part of prompts may crash each worker that begins to answer a request with it, while no two such
// requests are alike. Crashes are therefore reported with the shared parts of the prompts in progress, and
// hosts report which parts workers answer. Requests with a part that crashes workers are refused like those
// that do so as a whole (crashes.go), until a probe shows that it no longer does.
//
// Inputs: the parts of the prompt, the crash list, probes sent by this host, and the number of hosts.

// maxPartsTracked bounds the parts of a prompt that are tracked, counted from its beginning.
const maxPartsTracked = 16

// partState is what a host knows of the parts of prompts that it sends.
type partState struct {
	// answers are the parts answered recently.
	answers crashes.RecentAnswers
	// probes are the requests with refused parts that were sent to find out about them.
	probes crashes.PartProbes
}

// contentsOfParts returns the contents of the parts that a prompt shares with others.
func contentsOfParts(p Prompt) []crashes.Content {
	shared := p.SharedParts()
	out := make([]crashes.Content, 0, min(len(shared), maxPartsTracked))
	for _, part := range shared[:min(len(shared), maxPartsTracked)] {
		out = append(out, crashes.ContentOfPart(string(p.Model), part.ID))
	}
	return out
}

// refusedPart returns a part of the call's prompt for which it is refused, and until when.
func (t *transition) refusedPart(c call) (part crashes.Content, until time.Time, refused bool) {
	if t.crashList.Len() == 0 {
		return "", time.Time{}, false
	}
	for _, p := range c.parts {
		if until, refused = t.crashList.RefusesPart(p, c.parts, t.parts.probes, t.settings.Host, t.hostCount, t.now); refused {
			return p, until, true
		}
	}
	return "", time.Time{}, false
}

// recordPartProbes records that a call with parts that crashed workers is sent to find out about them.
func (t *transition) recordPartProbes(c call) {
	for _, p := range c.parts {
		if e, ok := t.crashList.Get(p); ok && e.Crashes >= crashes.CrashesToRefuse {
			t.parts.probes = t.parts.probes.With(p, t.now)
		}
	}
}

// recordPartAnswers records that a worker answered a call, so that no part of its prompt crashes all workers.
func (t *transition) recordPartAnswers(c call) {
	if len(c.parts) == 0 {
		return
	}
	t.parts.answers = t.parts.answers.With(crashes.AnyPart, t.now)
	for _, p := range c.parts {
		t.parts.answers = t.parts.answers.With(p, t.now)
		t.crashList = t.crashList.WithAnswer(p, t.now)
	}
}
