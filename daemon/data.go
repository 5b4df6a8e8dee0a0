// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package daemon

import (
	"crypto/rand"

	"github.com/pkg/errors"

	"github.com/yardhall/yardhall/common/clock"
	"github.com/yardhall/yardhall/core/host"
	"github.com/yardhall/yardhall/core/ident"
	"github.com/yardhall/yardhall/core/raft"
	"github.com/yardhall/yardhall/settings"
	"github.com/yardhall/yardhall/storage"
)

// openStorage opens the data folder of a replica and names the replica in
// settings; on other hosts it does nothing.
func (d *Daemon) openStorage(hs *host.Settings) (*storage.Log, raft.Boot, error) {
	if !d.settings.IsReplica() {
		return nil, raft.Boot{}, nil
	}
	o := storage.Options{Fleet: d.settings.Host.Fleet, Wrap: d.options.WrapFile}
	switch {
	case hs.Seeded():
		o.Identity, o.Members = firstIdentity(d.settings)
	case d.settings.Replicas.Join != "yes":
		for _, r := range d.settings.Replicas.Hosts() {
			o.Members = append(o.Members, raft.Member{ID: r.ID, Voter: true})
		}
	}
	begun := clock.Now()
	log, boot, err := storage.Open(d.settings.Host.Data, o)
	if errors.Is(err, storage.ErrDamaged) && hs.Seeded() {
		d.options.Log.Error(err, "the data folder is set aside; this replica joins as one whose disk was lost")
		log, boot, err = d.openAnew(o)
	}
	if err != nil {
		return nil, boot, errors.Wrap(err, "open data folder")
	}
	if log.Cut > 0 {
		d.options.Log.Info("cut a torn end off the log", "bytes", log.Cut)
	}
	hs.Identity = log.Identity()
	d.options.Log.Info("replicated state read", "identity", string(log.Identity()), "took_ms", millis(clock.Now().Sub(begun)),
		"snapshot", uint64(boot.Snapshot.Index), "entries", len(boot.Entries), "term", uint64(boot.Hard.Term), "founds", len(o.Members) > 0)
	return log, boot, nil
}

// openAnew sets a damaged data folder aside. What stood there counts as lost, so
// the replica gets a name that has no vote, even at the very first start.
func (d *Daemon) openAnew(o storage.Options) (*storage.Log, raft.Boot, error) {
	if err := storage.SetAside(d.settings.Host.Data); err != nil {
		return nil, raft.Boot{}, err
	}
	o.Identity, o.Members = d.settings.ID().WithDisk(rand.Text()), nil
	log, boot, err := storage.Open(d.settings.Host.Data, o)
	return log, boot, errors.Wrap(err, "open a new data folder")
}

// foundingDisk names the disks of the replicas that form the first group.
const foundingDisk = "first"

// firstIdentity names an empty data folder. Hosts named as seeds at the very
// first start form the first group without any message between them: all know its
// members. Any other empty folder gets a name that nobody had before, and so
// has no vote until the group has taken it in.
func firstIdentity(s settings.Settings) (ident.Host, []raft.Member) {
	own := s.ID()
	seeds := s.SeedHosts()
	members := make([]raft.Member, 0, len(seeds))
	founder := false
	for _, seed := range seeds {
		members = append(members, raft.Member{ID: seed.WithDisk(foundingDisk), Voter: true})
		founder = founder || seed == own
	}
	if s.Replicas.Found == "yes" && founder {
		return own.WithDisk(foundingDisk), members
	}
	return own.WithDisk(rand.Text()), nil
}
