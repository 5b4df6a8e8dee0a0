// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package peers

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/yardhall/yardhall/common/keys"
	"github.com/yardhall/yardhall/common/sockets"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/registry"
)

// A tunnel is a connection to a worker through another host: an HTTP CONNECT (RFC 9110, 9.3.6) at the
// host's port for its peers, which forwards bytes once it has connected to the worker. The host that
// opens it sends one request of its own and closes it.
const (
	// tunnelDialTimeout bounds the connection to the peer, tunnelReplyTimeout its reply, which comes
	// once it has connected to the worker or failed to.
	tunnelDialTimeout  = 200 * time.Millisecond
	tunnelReplyTimeout = 600 * time.Millisecond
	// tunnelUserTimeout closes a tunnel whose data stays unacknowledged (RFC 5482).
	tunnelUserTimeout = 3 * time.Second
	// tunnelHeaderSize bounds the header of a CONNECT request and that of its reply.
	tunnelHeaderSize = 4 << 10
)

// Headers of a CONNECT request, beside Proxy-Authorization with the fleet's key.
const (
	tunnelFleetHeader  = "Yardhall-Fleet"
	tunnelWorkerHeader = "Yardhall-Worker"
	tunnelAuthHeader   = "Proxy-Authorization"
)

// Errors of OpenTunnel. ErrWorkerRefused and ErrWorkerTimedOut say that the peer could not connect to
// the worker, all others that the peer did not try.
var (
	ErrWorkerRefused  = errors.New("the worker refused the connection of the peer")
	ErrWorkerTimedOut = errors.New("the worker did not answer the peer")
	// ErrUnavailable is the error of a peer that reaches no worker, is overloaded, stops, cannot be
	// reached, or is of a version that does not know tunnels.
	ErrUnavailable = errors.New("the peer opens no tunnels at present")
)

// OpenTunnel connects to a worker through another host.
func (p *Pool) OpenTunnel(ctx context.Context, via ident.Host, w registry.Worker) (*Tunnel, error) {
	addr := p.address(via)
	if blocked := p.options.Blocked; addr == "" || blocked != nil && blocked(via) {
		return nil, errors.Wrap(ErrUnavailable, "no address")
	}
	conn, err := p.dialTunnel(ctx, addr)
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	tunnel, err := p.connectTunnel(conn, w)
	if !stop() || err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "open tunnel")
	}
	_ = conn.SetDeadline(time.Time{})
	return tunnel, nil
}

func (p *Pool) dialTunnel(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, tunnelDialTimeout)
	defer cancel()
	return dialPeer(ctx, p.options, addr, tunnelUserTimeout)
}

// connectTunnel sends the CONNECT request and reads the reply.
func (p *Pool) connectTunnel(conn net.Conn, w registry.Worker) (*Tunnel, error) {
	_ = conn.SetDeadline(time.Now().Add(tunnelReplyTimeout))
	r := &http.Request{Method: http.MethodConnect, URL: &url.URL{Host: w.Address}, Host: w.Address, Header: http.Header{}}
	r.Header.Set(tunnelFleetHeader, p.options.Fleet)
	r.Header.Set(tunnelWorkerHeader, string(w.ID))
	r.Header.Set(tunnelAuthHeader, "Bearer "+p.options.Key)
	r.Header.Set(tunnelFramingHeader, chunkedFraming)
	if err := r.Write(conn); err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	header := bufio.NewReader(io.LimitReader(conn, tunnelHeaderSize))
	resp, err := http.ReadResponse(header, r) //nolint:bodyclose // A tunnel has no body.
	switch {
	case err != nil:
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	case header.Buffered() > 0:
		return nil, errors.Wrap(ErrUnavailable, "bytes follow the reply")
	}
	return newTunnel(conn, bufio.NewReader(conn), resp.Header), tunnelError(resp.StatusCode)
}

// tunnelError returns the error that a reply reports, nil if the tunnel is open.
func tunnelError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusBadGateway:
		return ErrWorkerRefused
	case http.StatusGatewayTimeout:
		return ErrWorkerTimedOut
	}
	return errors.Wrapf(ErrUnavailable, "status %d", status)
}

// tunnelStatus returns the status that reports an error of the host's own connection to a worker.
func tunnelStatus(err error) int {
	var timeout net.Error
	switch {
	case err == nil:
		return http.StatusOK
	case errors.Is(err, unix.ECONNREFUSED):
		return http.StatusBadGateway
	case errors.As(err, &timeout) && timeout.Timeout():
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

// serveTunnel reads a CONNECT request, connects to the worker and forwards bytes until either end
// closes.
func (s *Server) serveTunnel(conn net.Conn, in *bufio.Reader) {
	header := bufio.NewReader(io.LimitReader(in, tunnelHeaderSize))
	r, err := http.ReadRequest(header)
	if err != nil || header.Buffered() > 0 {
		return
	}
	worker, status := s.connectWorker(r)
	if status != http.StatusOK {
		s.options.Counters.TunnelsRefused.Add(1)
		_ = writeTunnelStatus(conn, status, nil)
		return
	}
	defer func() { _ = worker.Close() }()
	framing := agreedFraming(r.Header)
	if !s.markTunnel(conn) || writeTunnelStatus(conn, status, framing) != nil {
		return
	}
	s.options.Counters.TunnelsOpened.Add(1)
	_ = conn.SetDeadline(time.Time{})
	splice(conn, in, worker, len(framing) > 0)
}

// writeTunnelStatus replies to a CONNECT request.
func writeTunnelStatus(conn net.Conn, status int, header http.Header) error {
	_ = conn.SetWriteDeadline(time.Now().Add(tunnelReplyTimeout))
	var reply bytes.Buffer
	reply.WriteString("HTTP/1.1 " + tunnelStatusLines[status] + "\r\n")
	_ = header.Write(&reply)
	reply.WriteString("\r\n")
	_, err := conn.Write(reply.Bytes())
	return errors.Wrap(err, "reply")
}

// tunnelStatusLines are the statuses with which tunnels are opened or refused.
var tunnelStatusLines = map[int]string{
	http.StatusOK:                 "200 Connection established",
	http.StatusProxyAuthRequired:  "407 Proxy Authentication Required",
	http.StatusBadGateway:         "502 Bad Gateway",
	http.StatusServiceUnavailable: "503 Service Unavailable",
	http.StatusGatewayTimeout:     "504 Gateway Timeout",
}

// connectWorker connects to the worker that a CONNECT request names.
func (s *Server) connectWorker(r *http.Request) (net.Conn, int) {
	o := s.options
	if r.Method != http.MethodConnect || r.Header.Get(tunnelFleetHeader) != o.Fleet || !o.isKey(keys.Bearer(r.Header.Get(tunnelAuthHeader))) {
		o.Counters.Refused.Add(1)
		return nil, http.StatusProxyAuthRequired
	}
	if o.DialWorker == nil {
		return nil, http.StatusServiceUnavailable
	}
	worker, err := o.DialWorker(s.ctx, ident.Target(r.Header.Get(tunnelWorkerHeader)), r.Host)
	return worker, tunnelStatus(err)
}

// splice forwards bytes between a host and a worker until either end closes, those from the worker in
// chunks if framed is set. An end that was reset is passed on as a reset, as an answer without a length is
// whole only if its connection was closed in order.
func splice(host net.Conn, fromHost io.Reader, worker net.Conn, framed bool) {
	keepTunnelAlive(host)
	var requests sync.WaitGroup
	defer requests.Wait()
	requests.Go(func() {
		_, _ = io.Copy(plainWriter{worker}, fromHost)
		// The host sends one request and closes the tunnel when it is done or its caller has left.
		_ = worker.Close()
	})
	if err := forwardAnswer(host, worker, framed); err != nil {
		resetConn(host)
		return
	}
	closeInOrder(host)
}

// plainReader and plainWriter hide the methods by which io.Copy has the system forward bytes.
type (
	plainReader struct{ io.Reader }
	plainWriter struct{ io.Writer }
)

func keepTunnelAlive(conn net.Conn) {
	tcp := tcpConn(conn)
	if tcp == nil {
		return
	}
	_ = tcp.SetKeepAliveConfig(sockets.KeepAlive())
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = sockets.Control(tunnelUserTimeout)("tcp", "", raw)
	}
}

// tcpConn returns the TCP connection below a connection, or nil.
func tcpConn(conn net.Conn) *net.TCPConn {
	if below, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = below.NetConn()
	}
	tcp, _ := conn.(*net.TCPConn)
	return tcp
}

func resetConn(conn net.Conn) {
	if tcp := tcpConn(conn); tcp != nil {
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
	}
	_ = conn.Close()
}

// closeTimeout is how long the other end of a tunnel has to close it after the answer.
const closeTimeout = time.Second

// closeInOrder ends the bytes to the host and gives it time to close, so that none are lost.
func closeInOrder(conn net.Conn) {
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = conn.SetReadDeadline(time.Now().Add(closeTimeout))
}
