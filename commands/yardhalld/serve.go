// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package yardhalld

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"github.com/google/subcommands"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/yardhall/yardhall/common/logs"
	"github.com/yardhall/yardhall/daemon"
	"github.com/yardhall/yardhall/gateway"
	"github.com/yardhall/yardhall/settings"
)

// serveCommand runs the daemon until a signal stops it.
type serveCommand struct{ file string }

// Name implements subcommands.Command.
func (*serveCommand) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*serveCommand) Synopsis() string { return "run the daemon" }

// Usage implements subcommands.Command.
func (*serveCommand) Usage() string {
	return "yardhalld serve --settings FILE\n\nSIGTERM and SIGINT begin a planned stop: every request in flight is finished first.\n\n"
}

// SetFlags implements subcommands.Command.
func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", "", "settings file")
}

// Execute implements subcommands.Command.
func (c *serveCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.serve(ctx); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *serveCommand) serve(ctx context.Context) error {
	// A signal without a handler would end the process while it starts, which takes a replica some time.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	s, err := settings.Load(c.file)
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	log, closeLog, err := newLogger(s.Log)
	if err != nil {
		return err
	}
	defer closeLog()
	if memory := s.Host.MemoryBytes(); memory > 0 {
		debug.SetMemoryLimit(gateway.GoMemoryLimit(memory))
	}
	d, err := daemon.New(s, daemon.Options{Log: log.WithValues("host", s.Host.ID)})
	if err != nil {
		return errors.Wrap(err, "start")
	}
	stopReload := reloadOnHangup(c.file, hangup, d, log)
	defer stopReload()
	log.Info("started", "host", s.Host.ID, "zone", s.Host.Zone, "replica", s.IsReplica(), "serves", s.Serves(), "trusted_network", s.Peer.Trusted)
	defer log.Info("stopped", "host", s.Host.ID)
	return errors.Wrap(d.Run(ctx), "serve")
}

// reloadOnHangup reads the settings file anew at each hangup, and when it has
// changed. A file with mistakes changes nothing.
func reloadOnHangup(file string, hangup <-chan os.Signal, d *daemon.Daemon, log logr.Logger) (stop func()) {
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(settingsPoll)
		defer ticker.Stop()
		seen := modified(file)
		for {
			select {
			case <-done:
				return
			case <-hangup:
				reload(file, d, log)
				seen = modified(file)
			case <-ticker.C:
				if at := modified(file); !at.Equal(seen) {
					seen = at
					reload(file, d, log)
				}
			}
		}
	}()
	return func() { close(done) }
}

// settingsPoll is the time between two looks at the settings file.
const settingsPoll = 2 * time.Second

func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func reload(file string, d *daemon.Daemon, log logr.Logger) {
	s, err := settings.Load(file)
	if err != nil {
		log.Error(err, "the settings file has mistakes; the old settings stay in force")
		return
	}
	d.Reload(s)
	log.Info("settings read anew", "file", file)
}

// newLogger returns a logr.Logger over zap that never blocks, and what writes
// its last lines.
func newLogger(s settings.Log) (logr.Logger, func(), error) {
	level, err := zap.ParseAtomicLevel(s.Level)
	if err != nil {
		return logr.Logger{}, nil, errors.Wrap(err, "log level")
	}
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	if s.Format == "console" {
		encoder = zapcore.NewConsoleEncoder(zap.NewDevelopmentEncoderConfig())
	}
	w := logs.NewWriter(os.Stdout)
	return zapr.NewLogger(zap.New(zapcore.NewCore(encoder, w, level))), w.Close, nil
}
