// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package operators

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Client calls the operators' port of one of several hosts.
type Client struct {
	// Addresses are ip:port of operators' ports, tried in turn.
	Addresses []string
	// Scheme is http or https; http where empty.
	Scheme string
	Key    string
	// Operator is the name for the audit trail.
	Operator string
	// HTTP makes the calls; a default where nil.
	HTTP *http.Client
}

// CallError is an error answer of the port.
type CallError struct {
	Status int
	Detail Error
}

// Error implements error.
func (e *CallError) Error() string { return e.Detail.Code + ": " + e.Detail.Reason }

// Request is one call.
type Request struct {
	Method string
	Path   string
	Body   any
	// Match is an If-Match value; "*" asks that the object does not exist yet.
	Match string
	// Key is the Idempotency-Key, so that a call may be repeated.
	Key string
}

const (
	clientTimeout = 15 * time.Second
	// maxAnswer bounds the body of an answer in bytes; the dump of a large fleet is some megabytes.
	maxAnswer = 64 << 20
)

// Do makes the call and decodes its answer into out, where that is not nil; it
// returns the ETag. A host that cannot be reached or that sends us elsewhere is
// followed by the next address.
func (c *Client) Do(ctx context.Context, r Request, out any) (string, error) {
	var last error
	for _, address := range c.Addresses {
		tag, err := c.call(ctx, address, r, out)
		var ce *CallError
		if err == nil || (errors.As(err, &ce) && ce.Status != http.StatusMisdirectedRequest) {
			return tag, err
		}
		last = err
	}
	if last == nil {
		last = errors.New("no address to call")
	}
	return "", last
}

func (c *Client) call(ctx context.Context, address string, r Request, out any) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	req, err := c.request(ctx, address, r)
	if err != nil {
		return "", err
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return "", errors.Wrap(err, "call host")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return "", errors.Wrap(err, "read answer")
	}
	if len(body) > maxAnswer {
		return "", errors.New("the answer exceeds the size limit")
	}
	if resp.StatusCode != http.StatusOK {
		ce := &CallError{Status: resp.StatusCode}
		if json.Unmarshal(body, &ce.Detail) != nil {
			ce.Detail = Error{Code: "http", Reason: resp.Status}
		}
		return "", ce
	}
	if raw, ok := out.(*[]byte); ok {
		*raw = body
		return "", nil
	}
	if out != nil {
		err = errors.Wrap(json.Unmarshal(body, out), "decode response")
	}
	return resp.Header.Get("ETag"), err
}

func (c *Client) request(ctx context.Context, address string, r Request) (*http.Request, error) {
	var body io.Reader
	if r.Body != nil {
		b, err := json.Marshal(r.Body)
		if err != nil {
			return nil, errors.Wrap(err, "encode body")
		}
		body = bytes.NewReader(b)
	}
	scheme := c.Scheme
	if scheme == "" {
		scheme = "http"
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, scheme+"://"+address+r.Path, body)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set(HeaderActor, c.Operator)
	if r.Key != "" {
		req.Header.Set(headerKey, r.Key)
	}
	switch r.Match {
	case "":
	case "*":
		req.Header.Set("If-None-Match", "*")
	default:
		req.Header.Set("If-Match", r.Match)
	}
	return req, nil
}
