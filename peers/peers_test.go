// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package peers_test

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/gob"
	"math/big"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/peers"
)

func options(self ident.Host) peers.Options {
	return peers.Options{Self: self, Fleet: "f", Key: "the key of the fleet", MaxMessage: 1 << 16, Counters: &peers.Counters{}}
}

// serve starts a server that counts the messages it receives.
func serve(t *testing.T, o peers.Options) (string, *atomic.Int32) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var received atomic.Int32
	s := peers.NewServer(o, func(from ident.Host, _ host.Message) {
		if from == "" {
			t.Error("message delivered before hello")
		}
		received.Add(1)
	})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		_ = l.Close()
		s.Close()
	})
	return l.Addr().String(), &received
}

// sendSome sends 15 messages over 300 ms and returns how many the server has received.
func sendSome(address string, o peers.Options, m host.Message, received *atomic.Int32) int {
	p := peers.NewPool(o)
	defer p.Close()
	p.SetAddresses([]config.Host{{ID: "b", Address: address}})
	for range 15 {
		p.Send("b", m)
		time.Sleep(20 * time.Millisecond)
	}
	return int(received.Load())
}

// requireArrival sends messages until one arrives.
func requireArrival(t *testing.T, address string, o peers.Options, m host.Message, received *atomic.Int32) {
	t.Helper()
	p := peers.NewPool(o)
	defer p.Close()
	p.SetAddresses([]config.Host{{ID: "b", Address: address}})
	before := received.Load()
	require.Eventually(t, func() bool {
		p.Send("b", m)
		return received.Load() > before
	}, time.Minute, 20*time.Millisecond)
}

var beat = host.PeerHeartbeat{Beat: host.Heartbeat{Host: "a", Counter: 1}}

// TestOnlyHostsOfTheFleetAreAccepted guards against messages from connections with a wrong key,
// another fleet or no hello at all.
func TestOnlyHostsOfTheFleetAreAccepted(t *testing.T) {
	address, received := serve(t, options("b"))
	wrong := options("a")
	wrong.Key = "another key of a fleet"
	require.Zero(t, sendSome(address, wrong, beat, received))
	other := options("a")
	other.Fleet = "restored"
	require.Zero(t, sendSome(address, other, beat, received))

	callWithoutHello(t, address)
	require.Zero(t, received.Load())

	requireArrival(t, address, options("a"), beat, received)
	callWithoutHello(t, address)
}

// callWithoutHello requires that a batch without a hello is rejected; serve fails the test if it
// is delivered.
func callWithoutHello(t *testing.T, address string) {
	t.Helper()
	c, err := rpc.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	require.Error(t, c.Call("F.D", peers.Batch{Messages: []host.Message{beat}}, &peers.Ack{}))
}

// TestOversizedMessagesAreRejected guards against a peer that exhausts memory with one message.
func TestOversizedMessagesAreRejected(t *testing.T) {
	small := options("b")
	small.MaxMessage = 4 << 10
	address, received := serve(t, small)
	huge := host.AdoptPermits{}
	huge.Group.Zone = ident.Zone(make([]byte, 64<<10))
	require.Zero(t, sendSome(address, options("a"), huge, received))
	requireArrival(t, address, options("a"), beat, received)
}

// authority simulates a certificate authority.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return authority{cert, key}
}

// config returns a configuration with a certificate of a that trusts those of trusted.
func (a authority) config(t *testing.T, trusted authority) *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(trusted.cert)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}
}

// TestMutualTLS guards against hosts that connect without TLS or with a certificate of another
// authority.
func TestMutualTLS(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	server := options("b")
	server.TLS = ours.config(t, ours)
	address, received := serve(t, server)
	require.Zero(t, sendSome(address, options("a"), beat, received), "no TLS")
	stranger := options("a")
	stranger.TLS = theirs.config(t, ours)
	require.Zero(t, sendSome(address, stranger, beat, received), "a certificate of another authority")
	good := options("a")
	good.TLS = ours.config(t, ours)
	requireArrival(t, address, good, beat, received)
}

// Two adjacent versions of a message: the newer one has an additional field.
type (
	oldBeat struct{ Counter uint64 }
	newBeat struct {
		Counter uint64
		Added   string
	}
)

// TestAdjacentVersionsAreCompatible guards against an encoding in which a field that only one side
// has breaks decoding.
func TestAdjacentVersionsAreCompatible(t *testing.T) {
	var b bytes.Buffer
	require.NoError(t, gob.NewEncoder(&b).Encode(newBeat{Counter: 7, Added: "x"}))
	var old oldBeat
	require.NoError(t, gob.NewDecoder(&b).Decode(&old))
	require.EqualValues(t, 7, old.Counter)
	b.Reset()
	require.NoError(t, gob.NewEncoder(&b).Encode(oldBeat{Counter: 8}))
	var fresh newBeat
	require.NoError(t, gob.NewDecoder(&b).Decode(&fresh))
	require.EqualValues(t, 8, fresh.Counter)
}

// TestUnresponsiveConnectionIsReplaced guards against messages sent on a connection whose calls
// are not answered, as after a power loss of the host, until maxCalls of them are pending.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	silent, stop := make(chan struct{}, 1), make(chan struct{})
	silent <- struct{}{}
	arrived := make(chan struct{}, 100)
	s := peers.NewServer(options("b"), func(ident.Host, host.Message) {
		select {
		case <-silent:
			<-stop
		default:
			arrived <- struct{}{}
		}
	})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		close(stop)
		_ = l.Close()
		s.Close()
	})
	o := options("a")
	p := peers.NewPool(o)
	defer p.Close()
	p.SetAddresses([]config.Host{{ID: "b", Address: l.Addr().String()}})
	p.Send("b", beat)
	require.Eventually(t, func() bool { return len(silent) == 0 }, 30*time.Second, time.Millisecond)
	time.Sleep(1500 * time.Millisecond)
	p.Send("b", beat)
	select {
	case <-arrived:
	case <-time.After(30 * time.Second):
		t.Fatal("the unresponsive connection was not replaced")
	}
	require.EqualValues(t, 1, o.Counters.Failed.Load())
}
