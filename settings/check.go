// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package settings

import (
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/dustin/go-humanize"
	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/core/config"
	"github.com/yardhall/yardhall/core/ident"
)

const (
	minPeerKey = 16
	hashLen    = 64
)

func check(s Settings, p *ProblemsError) {
	checkNeeded("host", "id", s.Host.ID, p)
	checkNeeded("host", "zone", s.Host.Zone, p)
	checkAddress("peer", s.Peer.Listen, true, p)
	checkAddress("callers", s.Callers.Listen, false, p)
	checkAddress("operators", s.Operators.Listen, false, p)
	checkAddress("metrics", s.Metrics.Listen, false, p)
	checkRelay(s.Gateway, p)
	if s.Peer.Shown != "" && !s.Seeded() {
		p.add("peer", "advertise", "only with seeds; name the address in [replicas] members elsewhere")
	}
	if s.Seeded() {
		checkSeeds(s, p)
	} else {
		checkMembers(s, p)
	}
	checkRoles(s, p)
	checkTLS(s, p)
	checkKeys(s, p)
	checkSizes(s, p)
	if s.Platform.URL != "" && s.Platform.File != "" {
		p.add("platform", "file", "url and file exclude each other")
	}
	checkChoice("replicas", "join", s.Replicas.Join, []string{yes, "no"}, p)
	checkChoice("replicas", "keep", s.Replicas.Keep, []string{yes, "no"}, p)
	checkChoice("replicas", "found", s.Replicas.Found, []string{yes, "no"}, p)
	checkChoice("peer", "trusted_network", s.Peer.Trusted, []string{yes, "no"}, p)
	checkGateway(s.Gateway, p)
	checkRollouts(s, p)
	checkChoice("log", "level", s.Log.Level, []string{"debug", "info", "error"}, p)
	checkChoice("log", "format", s.Log.Format, []string{"json", "console"}, p)
}

func checkNeeded(section, key, value string, p *ProblemsError) {
	if value == "" {
		p.add(section, key, "is missing")
	}
}

func checkChoice(section, key, value string, choices []string, p *ProblemsError) {
	if !slices.Contains(choices, value) {
		p.add(section, key, "%q is not one of %s", value, strings.Join(choices, ", "))
	}
}

func checkAddress(section, address string, needed bool, p *ProblemsError) {
	if address == "" {
		if needed {
			p.add(section, "listen", "is missing")
		}
		return
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		p.add(section, "listen", "%q is not ip:port; host names are not taken", address)
	}
}

func checkRelay(g Gateway, p *ProblemsError) {
	if g.Relay == "" {
		return
	}
	if _, err := netip.ParseAddrPort(g.Relay); err != nil {
		p.add("gateway", "relay", "%q is not ip:port; host names are not taken", g.Relay)
	}
	if g.Listen == "" {
		p.add("gateway", "relay", "only on a host that takes requests")
	}
}

func parseMember(line string) (config.Host, error) {
	parts := strings.Split(line, "@")
	if len(parts) != 3 || parts[0] == "" || parts[1] == "" {
		return config.Host{}, errors.Errorf("%q is not id@zone@ip:port", line)
	}
	if _, err := netip.ParseAddrPort(parts[2]); err != nil {
		return config.Host{}, errors.Errorf("%q: %q is not ip:port", line, parts[2])
	}
	return config.Host{ID: ident.Host(parts[0]), Zone: ident.Zone(parts[1]), Address: parts[2]}, nil
}

// maxReplicas is the most hosts that may be set aside for state.
const maxReplicas = 5

func checkMembers(s Settings, p *ProblemsError) {
	if len(s.Replicas.Members) == 0 {
		p.add("replicas", "members", "is missing")
	}
	if n := len(s.Replicas.Members); n > 0 && (n%2 == 0 || n > maxReplicas) {
		p.add("replicas", "members", "needs 1, 3 or 5 hosts, not %d", n)
	}
	for name, m := range map[string]Members{"replicas": {Members: s.Replicas.Members}, "neighbours": s.Neighbors} {
		seen := map[ident.Host]bool{}
		for _, line := range m.Members {
			h, err := parseMember(line)
			if err != nil {
				p.add(name, "members", "%v", err)
				continue
			}
			if seen[h.ID] {
				p.add(name, "members", "host %q stands twice", h.ID)
			}
			seen[h.ID] = true
			if string(h.ID) == s.Host.ID && (h.Address != s.Peer.Listen || string(h.Zone) != s.Host.Zone) {
				p.add(name, "members", "%q contradicts [host] zone or [peer] listen", line)
			}
		}
	}
}

func checkSeeds(s Settings, p *ProblemsError) {
	if len(s.Replicas.Members) > 0 {
		p.add("replicas", "seeds", "members and seeds exclude each other")
	}
	if s.Callers.Listen != "" {
		p.add("callers", "listen", "needs a fleet with listed members; use [gateway] listen")
	}
	if s.Host.ID != s.Peer.Address() {
		p.add("host", "id", "must equal [peer] advertise, or listen, in a fleet with seeds")
	}
	for _, text := range s.Replicas.Seeds {
		if _, err := netip.ParseAddrPort(text); err != nil {
			p.add("replicas", "seeds", "%q is not ip:port", text)
		}
	}
}

func checkGateway(g Gateway, p *ProblemsError) {
	for key, address := range map[string]string{"listen": g.Listen, "ready": g.Ready, "control": g.Control} {
		if _, err := netip.ParseAddrPort(address); address != "" && err != nil {
			p.add("gateway", key, "%q is not ip:port; host names are not taken", address)
		}
	}
	for key, text := range map[string]string{
		"retry_share": g.RetryShare, "retry_extra": g.RetryExtra, "load_factor": g.LoadFactor,
	} {
		if v, err := strconv.ParseFloat(text, 64); err != nil || v < 0 {
			p.add("gateway", key, "%q is not a number of 0 or more", text)
		}
	}
}

// checkRollouts checks the bounds of rollouts. A share outside its range, or one that is not a
// number, would otherwise send all requests to a new version or none.
func checkRollouts(s Settings, p *ProblemsError) {
	share, err := strconv.ParseFloat(s.Gateway.RolloutShare, 64)
	if err != nil || !isWithin(share, 0, 1) {
		p.add("gateway", "rollout_share", "%q is not a number from 0 to 1", s.Gateway.RolloutShare)
	}
	slack, err := strconv.ParseFloat(s.Gateway.RolloutSlack, 64)
	if err != nil || !isWithin(slack, 0, maxSlack) {
		p.add("gateway", "rollout_slack", "%q is not a number from 0 to %d", s.Gateway.RolloutSlack, maxSlack)
	}
	if share > 0 && !s.Seeded() {
		p.add("gateway", "rollout_share", "needs a fleet with seeds")
	}
}

// isWithin is false for a value that is not a number.
func isWithin(v, low, high float64) bool { return v >= low && v <= high }

// maxSlack bounds rollout_slack. More requests than this are no bound for any service.
const maxSlack = 1_000_000

// Number returns a number that Load has checked.
func Number(text string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return v
}

func checkRoles(s Settings, p *ProblemsError) {
	switch {
	case s.IsReplica() && s.Host.Data == "":
		p.add("host", "data", "is missing, but [replicas] names this host")
	case !s.IsReplica() && s.Host.Data != "":
		p.add("host", "data", "is set, but [replicas] does not name this host")
	case s.Host.Data != "":
		if err := checkWritable(s.Host.Data); err != nil {
			p.add("host", "data", "cannot be written: %v", err)
		}
	}
	if !s.IsReplica() && !s.Serves() {
		p.add("callers", "listen", "is missing, and [replicas] does not name this host: it would do nothing")
	}
}

func checkWritable(dir string) error {
	f, err := os.CreateTemp(dir, ".check-*")
	if err != nil {
		var pathErr *os.PathError
		if errors.As(err, &pathErr) {
			return pathErr.Err
		}
		return errors.Wrap(err, "create a file")
	}
	if err := f.Close(); err != nil {
		return errors.Wrap(err, "close a file")
	}
	return errors.Wrap(os.Remove(f.Name()), "remove a file")
}

func checkTLS(s Settings, p *ProblemsError) {
	checkTriple("peer", []string{s.Peer.Cert, s.Peer.KeyFile, s.Peer.CA}, "cert, key_file and ca", p)
	checkTriple("callers", []string{s.Callers.Cert, s.Callers.KeyFile}, "cert and key_file", p)
	checkTriple("operators", []string{s.Operators.Cert, s.Operators.KeyFile}, "cert and key_file", p)
	if s.Peer.Cert == "" && s.Peer.Trusted != yes && s.Peer.Listen != "" && !isLoopback(s.Peer.Listen) {
		p.add("peer", "cert", "is needed, as listen is not on loopback")
	}
	if s.Operators.Cert == "" && s.Operators.Listen != "" && !isLoopback(s.Operators.Listen) {
		p.add("operators", "cert", "is needed, as listen is not on loopback")
	}
}

func checkTriple(section string, files []string, names string, p *ProblemsError) {
	set := 0
	for _, f := range files {
		if f == "" {
			continue
		}
		set++
		if _, err := os.Stat(f); err != nil {
			p.add(section, "cert", "%q cannot be read", filepath.Base(f))
		}
	}
	if set != 0 && set != len(files) {
		p.add(section, "cert", "%s go together", names)
	}
}

func checkKeys(s Settings, p *ProblemsError) {
	if len(s.Peer.Key) < minPeerKey {
		p.add("peer", "key", "needs at least %d characters", minPeerKey)
	}
	if s.Operators.Listen != "" && len(s.Operators.KeyHashes) == 0 {
		p.add("operators", "key_hashes", "is missing, so nobody could use listen")
	}
	for _, h := range s.Operators.KeyHashes {
		if len(h) != hashLen || strings.Trim(h, "0123456789abcdef") != "" {
			p.add("operators", "key_hashes", "%q is not a hex SHA-256", h)
		}
	}
}

func checkSizes(s Settings, p *ProblemsError) {
	checkMemory(s.Host, p)
	checkSize("peer", "max_message", s.Peer.MaxSize, p)
	checkSize("callers", "max_body", s.Callers.MaxBody, p)
	checkSize("callers", "max_header", s.Callers.MaxHeader, p)
	checkSize("gateway", "max_response_header", s.Gateway.MaxResponseHeader, p)
	checkSize("gateway", "max_buffered_responses", s.Gateway.MaxBufferedResponses, p)
}

func checkSize(section, key, text string, p *ProblemsError) {
	if n, err := humanize.ParseBytes(text); err != nil || n == 0 || n > maxSize {
		p.add(section, key, "%q is not a size up to 1GiB such as 8MiB", text)
	}
}

const maxSize = 1 << 30

// Bytes returns a size that Load has checked.
func Bytes(text string) int64 {
	n, err := humanize.ParseBytes(text)
	if err != nil || n > maxSize {
		return 0
	}
	return int64(n)
}
