// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package startup

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"text/tabwriter"
	"time"
)

// maxMissing bounds the rows of hosts that lack something.
const maxMissing = 20

// Milestones in the order in which hosts reach them.
var (
	ofReplicas   = []string{"leader", "table"}
	ofEntryHosts = []string{"leader", "table", "target", "ready", "answer"}
)

// Print writes the distribution of each milestone over the replicas and over the entry hosts, then the hosts
// that lack something.
func (r *Report) Print(out io.Writer) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "MILESTONE\tREACHED\tOF\tMEDIAN\tP90\tP99\tLAST")
	for _, name := range ofReplicas {
		r.printMilestone(t, "replica: "+name, name, false)
	}
	for _, name := range ofEntryHosts {
		r.printMilestone(t, "entry host: "+name, name, true)
	}
	r.printMissing(t)
	_ = t.Flush()
	if r.Unread > 0 {
		_, _ = fmt.Fprintf(out, "\n%d lines unread\n", r.Unread)
	}
}

func (r *Report) printMilestone(out io.Writer, title, name string, serves bool) {
	var times []time.Duration
	hosts := 0
	for _, s := range r.starts {
		if s.serves != serves {
			continue
		}
		hosts++
		if at, ok := s.milestones[name]; ok {
			times = append(times, at)
		}
	}
	if hosts == 0 {
		return
	}
	slices.Sort(times)
	_, _ = fmt.Fprintf(out, "%s\t%d\t%d\t%s\t%s\t%s\t%s\n", title, len(times), hosts,
		quantile(times, 0.5), quantile(times, 0.9), quantile(times, 0.99), quantile(times, 1))
}

// quantile returns the smallest of the sorted times that a share of them does not exceed, "-" if there are none.
func quantile(times []time.Duration, share float64) string {
	if len(times) == 0 {
		return "-"
	}
	i := int(math.Ceil(share*float64(len(times)))) - 1
	return times[max(0, i)].String()
}

func (r *Report) printMissing(out io.Writer) {
	hosts := slices.SortedFunc(maps.Keys(r.starts), cmp.Compare[string])
	hosts = slices.DeleteFunc(hosts, func(h string) bool { return r.starts[h].missing == "" })
	if len(hosts) == 0 {
		return
	}
	_, _ = fmt.Fprintf(out, "\nHOST\tMISSING\n")
	for _, h := range hosts[:min(len(hosts), maxMissing)] {
		_, _ = fmt.Fprintf(out, "%s\t%s\n", h, r.starts[h].missing)
	}
	if len(hosts) > maxMissing {
		_, _ = fmt.Fprintf(out, "and %d more\n", len(hosts)-maxMissing)
	}
}
