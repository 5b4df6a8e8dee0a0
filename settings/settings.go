// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

// Package settings reads a process's settings from an INI file into typed
// values and checks them whole.
//
// # Usage
//
//	s, err := settings.Load("entry-1.ini")
//
// Every mistake is found in one pass and named by file, section and key. Table
// lists all keys with their defaults for the operators' page.
package settings

import (
	"net/netip"
	"time"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
)

// Settings are everything a daemon learns from its file.
type Settings struct {
	File      string    `ini:"-"`
	Host      Host      `ini:"host"`
	Peer      Peer      `ini:"peer"`
	Callers   Callers   `ini:"callers"`
	Operators Operators `ini:"operators"`
	Replicas  Replicas  `ini:"replicas"`
	Neighbors Members   `ini:"neighbours"`
	Platform  Platform  `ini:"platform"`
	Targets   Targets   `ini:"targets"`
	Gateway   Gateway   `ini:"gateway"`
	Metrics   Metrics   `ini:"metrics"`
	Log       Log       `ini:"log"`
}

// Host says who the process is.
type Host struct {
	ID    string `ini:"id" doc:"Name of this host, unique over the fleet."`
	Zone  string `ini:"zone" doc:"Availability zone of this host."`
	Fleet string `ini:"fleet" default:"yardhall" doc:"Id of the fleet; hosts of another fleet are refused."`
	Data  string `ini:"data" doc:"Data folder; needed where this host is named in [replicas]."`
	Chats int    `ini:"chats" default:"32768" doc:"Chats remembered per group of targets owned."`
	// Memory is checked by Load; MemoryBytes returns it as a number.
	Memory string `ini:"memory" doc:"Memory that the process may use, such as 512MB. 30% of it are for bodies of requests and buffered responses, and Go's memory limit is 75% of it. Empty where it is not known: 48MiB for bodies, [gateway] max_buffered_responses, and no limit of Go's."`
}

// Peer is the port for other hosts of the fleet.
type Peer struct {
	Listen  string `ini:"listen" doc:"ip:port for other hosts; also what they dial."`
	Shown   string `ini:"advertise" doc:"ip:port at which other hosts reach this one where a forwarder stands between; empty for listen. Only with seeds."`
	Key     string `ini:"key" doc:"Key that all hosts of the fleet share, at least 16 characters."`
	Cert    string `ini:"cert" doc:"TLS certificate file; with key_file and ca turns mutual TLS on. Needed off loopback."`
	KeyFile string `ini:"key_file" doc:"TLS private key file."`
	CA      string `ini:"ca" doc:"File with the authorities that sign hosts' certificates."`
	MaxSize string `ini:"max_message" default:"8MiB" doc:"Largest message taken from another host."`
	Trusted string `ini:"trusted_network" default:"no" doc:"yes where everyone on the network may read and change what hosts tell each other; lifts the need for cert off loopback."`
}

// Address is where other hosts reach this one.
func (p Peer) Address() string {
	if p.Shown != "" {
		return p.Shown
	}
	return p.Listen
}

// Callers is the port for callers; without listen the host takes none.
type Callers struct {
	Listen      string        `ini:"listen" doc:"ip:port for callers; empty on a host that only keeps state."`
	Cert        string        `ini:"cert" doc:"TLS certificate file."`
	KeyFile     string        `ini:"key_file" doc:"TLS private key file."`
	MaxBody     string        `ini:"max_body" default:"8MiB" doc:"Largest request body."`
	MaxHeader   string        `ini:"max_header" default:"64KiB" doc:"Largest request header."`
	ReadTimeout time.Duration `ini:"read_timeout" default:"30s" doc:"Time a caller has to send a request."`
	IdleTimeout time.Duration `ini:"idle_timeout" default:"2m" doc:"Time an idle connection is kept."`
	WriteStall  time.Duration `ini:"write_stall" default:"30s" doc:"Time a caller may take no bytes before it is cut."`
	MaxStream   time.Duration `ini:"max_stream" default:"30m" doc:"Longest request, streams included."`
	DrainNotice time.Duration `ini:"drain_notice" default:"5s" doc:"Time between not-ready and closed for new requests in a planned stop."`
	DrainLimit  time.Duration `ini:"drain_limit" default:"30m" doc:"Longest wait for requests in flight in a planned stop."`
}

// Operators is the port for operators.
type Operators struct {
	Listen    string   `ini:"listen" doc:"ip:port for operators; loopback unless TLS is on."`
	KeyHashes []string `ini:"key_hashes" doc:"Hex SHA-256 of each operator key; make one with 'yardhall key'."`
	Cert      string   `ini:"cert" doc:"TLS certificate file."`
	KeyFile   string   `ini:"key_file" doc:"TLS private key file."`
}

// Replicas are the hosts that keep the replicated state.
type Replicas struct {
	Members   []string `ini:"members" doc:"Hosts as id@zone@ip:port, separated by commas; 1, 3 or 5 of them."`
	Join      string   `ini:"join" default:"no" doc:"yes on a replica with an empty data folder that joins a running fleet."`
	Seeds     []string `ini:"seeds" doc:"ip:port of some replicas, separated by commas, instead of members: the others are found through them. Only the IP counts; the port is that at which this host is reached."`
	Keep      string   `ini:"keep" default:"no" doc:"yes where this host keeps the replicated state; only with seeds."`
	Found     string   `ini:"found" default:"no" doc:"yes at the very first start of the whole fleet: hosts named in seeds then form the first group; only with seeds."`
	HubsAbove int      `ini:"hubs_above" default:"40" doc:"Entry hosts above which replicas name hubs, which ask replicas for the others; the same on all replicas. Only with seeds."`
	Losses    int      `ini:"losses" default:"1" doc:"Replicas that may be lost at once; twice as many and one more vote. Only with seeds."`
}

// SeedHosts returns the peer addresses of the seeds.
func (s Settings) SeedHosts() []ident.Host {
	own, err := netip.ParseAddrPort(s.Peer.Address())
	if err != nil {
		return nil
	}
	out := make([]ident.Host, 0, len(s.Replicas.Seeds))
	for _, text := range s.Replicas.Seeds {
		if a, err := netip.ParseAddrPort(text); err == nil {
			out = append(out, ident.Host(netip.AddrPortFrom(a.Addr(), own.Port()).String()))
		}
	}
	return out
}

// Seeded tells whether replicas are found through seeds.
func (s Settings) Seeded() bool { return len(s.Replicas.Seeds) > 0 }

// Gateway is the entry for requests of the route table, in a seeded fleet.
type Gateway struct {
	Listen               string        `ini:"listen" doc:"ip:port for requests; empty on a host that takes none."`
	Ready                string        `ini:"ready" doc:"ip:port at which the balancer asks whether this host takes requests."`
	Control              string        `ini:"control" doc:"ip:port for workers' registrations and for operators of the route table."`
	Relay                string        `ini:"relay" doc:"ip:port at which a host that takes requests also takes workers' heartbeats for the replicas, where these are many; empty for none."`
	KeyLease             time.Duration `ini:"key_lease" default:"4s" doc:"Time for which a confirmed configuration may be used for requests with a key."`
	InForce              time.Duration `ini:"in_force" default:"2s" doc:"Time after its acknowledgement in which a route table is in force everywhere. An acknowledgement waits for hosts that cannot be reached, at most key_lease less this."`
	Revoke               time.Duration `ini:"revoke" default:"5s" doc:"Time after the acknowledgement in which keys that were taken away stop working everywhere. Where it is shorter than in_force, it takes its place."`
	ZoneDrain            time.Duration `ini:"zone_drain" default:"5s" doc:"Time after the acknowledgement of an order to drain a zone in which nothing more is sent to its workers, from any host. Until then a service whose other workers are missing or full is still served there."`
	Heartbeat            time.Duration `ini:"heartbeat" default:"1200ms" doc:"Time between two heartbeats of a worker."`
	RetryShare           string        `ini:"retry_share" default:"0.2" doc:"Part of a pool's requests that may be sent once more."`
	RetryExtra           string        `ini:"retry_extra" default:"20" doc:"Requests that the whole fleet may send once more beyond that."`
	LoadFactor           string        `ini:"load_factor" default:"2" doc:"Multiple of the mean load that no engine may go beyond."`
	MaxResponseHeader    string        `ini:"max_response_header" default:"64KiB" doc:"Largest head of a worker's response."`
	MaxBufferedResponses string        `ini:"max_buffered_responses" default:"32MiB" doc:"Memory for workers' responses that are buffered at a time, half of the buffers of [host] memory at most; up to 64 KiB of each do not count."`
	DrainTime            time.Duration `ini:"drain_time" default:"8s" doc:"Time that a planned stop may take."`

	RolloutShare  string        `ini:"rollout_share" default:"0" doc:"Largest part of a service's requests, from 0 to 1, that a bad version may get while it is rolled out; the same on all hosts. 0 disables rollouts: versions of targets are ignored. Only with seeds."`
	RolloutSlack  string        `ini:"rollout_slack" default:"50" doc:"Requests that a bad version may get beyond rollout_share, over all hosts together."`
	RolloutRevert time.Duration `ini:"rollout_revert" default:"5s" doc:"Time after the 50th bad answer of a version being rolled out from which no host sends it requests. A host sends it requests only while it was confirmed within half of this time."`
}

// Metrics is the port at which counters and histograms are read.
type Metrics struct {
	Listen string `ini:"listen" doc:"ip:port that serves GET /metrics as JSON, without a key: no request's content stands there. Empty for none."`
}

// Hosts returns the list in typed form; Load has checked it.
func (r Replicas) Hosts() []config.Host { return Members{Members: r.Members}.Hosts() }

// Members is a list of hosts.
type Members struct {
	Members []string `ini:"members" doc:"Hosts as id@zone@ip:port, separated by commas."`
}

// Platform is where the lagging list of live and leaving targets comes from.
type Platform struct {
	URL      string        `ini:"url" doc:"HTTP address of the list, by IP number."`
	File     string        `ini:"file" doc:"File with the list; instead of url."`
	Interval time.Duration `ini:"interval" default:"2s" doc:"Time between two readings of the list."`
}

// Targets bounds the traffic with targets.
type Targets struct {
	DialTimeout  time.Duration `ini:"dial_timeout" default:"1s" doc:"Time to connect to a target."`
	ProbeTimeout time.Duration `ini:"probe_timeout" default:"800ms" doc:"Time for a load report."`
	StreamStall  time.Duration `ini:"stream_stall" default:"30s" doc:"Time a target may send nothing before its answer counts as broken."`
}

// Log says what is logged.
type Log struct {
	Level  string `ini:"level" default:"info" doc:"debug, info or error."`
	Format string `ini:"format" default:"json" doc:"json or console."`
}

// Hosts returns the list in typed form; Load has checked it.
func (m Members) Hosts() []config.Host {
	out := make([]config.Host, 0, len(m.Members))
	for _, line := range m.Members {
		if h, err := parseMember(line); err == nil {
			out = append(out, h)
		}
	}
	return out
}

// ID returns the host's id.
func (s Settings) ID() ident.Host { return ident.Host(s.Host.ID) }

// Serves tells whether the host takes callers' requests.
func (s Settings) Serves() bool { return s.Callers.Listen != "" || s.Gateway.Listen != "" }

// IsReplica tells whether the host keeps the replicated state.
func (s Settings) IsReplica() bool {
	if s.Seeded() {
		return s.Replicas.Keep == yes
	}
	for _, r := range s.Replicas.Hosts() {
		if string(r.ID) == s.Host.ID {
			return true
		}
	}
	return false
}

const yes = "yes"

// isLoopback tells whether an ip:port is on this machine only.
func isLoopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().IsLoopback()
}
