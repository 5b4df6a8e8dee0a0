package main

import (
	"net/http"
	"strings"
	"time"
)

func init() {
	cases["limits"] = playLimits
}

// playLimits raises the limit on the head of a request while callers keep connections, and has them send a head
// that the new limit allows.
func playLimits(p *play) int {
	f, workers, code := p.begin(3, 2)
	if f == nil {
		return code
	}
	defer f.stop()
	for _, w := range workers {
		defer w.stop()
	}
	withHead := func(v, bytes int) map[string]any {
		d := document(v)
		d["Limits"].(map[string]any)["MaxHeaderBytes"] = bytes
		return d
	}
	// Without the disruption, the limit has been the larger one all the time.
	first := 4096
	if !p.trouble {
		first = 65536
	}
	if at, _ := f.put(withHead(2, first), 10*time.Second); at.IsZero() {
		return p.fail("configuration", nil)
	}
	time.Sleep(3 * time.Second)
	const users = 60
	var clients []*http.Client
	for range users {
		clients = append(clients, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}})
	}
	send := func(round string, head int) (answers map[int]int) {
		answers = map[int]int{}
		for i, c := range clients {
			m := f.edges[i%len(f.edges)]
			id := newID()
			f.parts = strings.TrimSuffix(strings.Repeat("0a1b2c3d:8,", head/11), ",")
			status, _, err := f.call(c, m, "GET", "/look/1", id, 2*time.Second, nil)
			answers[status]++
			f.rec.line("%s answer %s by %s: %d %v", round, id, m.name, status, err)
		}
		return answers
	}
	p.say("small heads: answers by status %v", send("small", 200))
	if p.trouble {
		if at, _ := f.put(withHead(3, 65536), 10*time.Second); at.IsZero() {
			return p.fail("configuration", nil)
		}
	}
	time.Sleep(4 * time.Second)
	answers := send("large", 30000)
	p.say("heads of 30 KB, 4 s after the limit of 65536 bytes was acknowledged: answers by status %v", answers)
	denied := 0
	for status, n := range answers {
		if status >= 300 && status < 500 && !promises[status] {
			denied += n
		}
	}
	if total := 2 * users; denied > 5+total/500 {
		p.say("broken: %d of %d proper requests were ended with a 4xx", denied, total)
		return broken
	}
	return held
}
