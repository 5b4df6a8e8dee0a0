// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package losses

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

const (
	// worstSeconds and worstNames bound the rows of a table.
	worstSeconds = 10
	worstNames   = 8
)

// row is one line of a table.
type row struct {
	name   string
	counts [fates]int
}

func (w row) lost() int { return w.counts[Late] + w.counts[Refused] + w.counts[Failed] }

// Print writes the tables: causes, then the seconds and names that lost most.
func (r *Report) Print(out io.Writer) {
	_, _ = fmt.Fprintf(out, "%d requests, %d lines unread, %d lines left out by hosts\n\n", r.Requests, r.Unread, r.Skipped)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	r.printReasons(t)
	seconds := map[string]*[fates]int{}
	for s, counts := range r.seconds {
		seconds[time.Unix(s, 0).UTC().Format(time.TimeOnly)] = counts
	}
	printTable(t, "second", seconds, worstSeconds)
	for _, by := range groupings {
		printTable(t, by.name, r.groups[by.name], worstNames)
	}
	_ = t.Flush()
}

func (r *Report) printReasons(out io.Writer) {
	names := slices.SortedFunc(maps.Keys(r.reasons), func(a, b string) int {
		return cmp.Or(cmp.Compare(r.reasons[b], r.reasons[a]), cmp.Compare(a, b))
	})
	_, _ = fmt.Fprintln(out, "CAUSE\tREQUESTS")
	for _, name := range names {
		_, _ = fmt.Fprintf(out, "%s\t%d\n", name, r.reasons[name])
	}
	_, _ = fmt.Fprintln(out)
}

// printTable writes the rows that lost most.
func printTable(out io.Writer, what string, counts map[string]*[fates]int, most int) {
	rows := make([]row, 0, len(counts))
	for name, c := range counts {
		if w := (row{name, *c}); w.lost() > 0 {
			rows = append(rows, w)
		}
	}
	slices.SortFunc(rows, func(a, b row) int {
		return cmp.Or(cmp.Compare(b.lost(), a.lost()), cmp.Compare(a.name, b.name))
	})
	_, _ = fmt.Fprintf(out, "%s\tSERVED\tLATE\tREFUSED\tFAILED\n", what)
	for _, w := range rows[:min(most, len(rows))] {
		_, _ = fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%d\n", w.name, w.counts[Served], w.counts[Late], w.counts[Refused], w.counts[Failed])
	}
	_, _ = fmt.Fprintln(out)
}
