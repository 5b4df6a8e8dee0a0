package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// client holds one kept connection to an edge and sends one request at a time.
type client struct {
	edge *node
	host string
	conn net.Conn
	in   *bufio.Reader
}

// answer is what a client got. It is complete if the response ended as HTTP prescribes.
type answer struct {
	status   int
	header   http.Header
	body     string
	complete bool
	err      error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends one request and reads the whole answer. It never sends a request twice.
func (c *client) send(method, path, id, key string, deadline time.Duration, body string) answer {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.edge.at(httpPort), time.Second)
		if err != nil {
			return answer{err: err}
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
		method, path, c.host, names.RequestID, id, names.Deadline, deadline.Milliseconds(), key, len(body))
	if _, err := io.WriteString(c.conn, head+body); err != nil {
		c.close()
		return answer{err: err}
	}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		c.close()
		return answer{err: err}
	}
	text, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, header: resp.Header, body: string(text), complete: err == nil, err: err}
	if err != nil || resp.Close {
		c.close()
	}
	return a
}

// describe says in a few words how a request ended.
func (a answer) describe() string {
	switch {
	case a.status == 0:
		return fmt.Sprintf("no answer (%s)", short(a.err))
	case !a.complete:
		return fmt.Sprintf("%d, cut off after %d bytes (%s)", a.status, len(a.body), short(a.err))
	}
	return fmt.Sprintf("%d, complete, %d bytes", a.status, len(a.body))
}

func short(err error) string {
	var timeout net.Error
	switch {
	case err == nil:
		return "no error"
	case errors.As(err, &timeout) && timeout.Timeout():
		return "time-out"
	case errors.Is(err, io.EOF):
		return "closed"
	}
	text := err.Error()
	return text[strings.LastIndex(text, ":")+1:]
}
