package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
)

// verdict holds the breaks of rules that were seen.
type verdict struct{ breaks []string }

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

var scenarios = map[string]struct {
	edges int
	play  func(*fleet, *record, bool) (verdict, error)
}{
	"surplus-decline": {edges: 6, play: surplusDecline},
	"last-key":        {edges: 6, play: lastKey},
	"tunnel-kill":     {edges: 7, play: tunnelKill},
}

func main() {
	// The daemons end with the thread that started them, so that none is left behind.
	runtime.LockOSThread()
	os.Exit(run())
}

func run() int {
	name := flag.String("scenario", "", "the scenario to play")
	root := flag.String("root", ".", "root of the repository")
	path := flag.String("record", "record.txt", "where the record is written")
	keep := flag.String("logs", "", "folder for the daemons' logs; a temporary one if empty")
	flag.Parse()
	s, ok := scenarios[*name]
	if !ok {
		fmt.Println("no such scenario")
		return notRun
	}
	rec, err := newRecord(*path)
	if err != nil {
		fmt.Println(err)
		return notRun
	}
	defer rec.close()
	dir := *keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review-"); err != nil {
			return notRun
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	absolute, err := filepath.Abs(*root)
	if err != nil {
		return notRun
	}
	f, err := newFleet(rec, absolute, dir, s.edges)
	if err != nil {
		fmt.Println(err)
		return notRun
	}
	var once sync.Once
	stop := func() { once.Do(f.stopAll) }
	defer stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		stop()
		os.Exit(notRun)
	}()
	v, err := s.play(f, rec, os.Getenv("TROUBLE") != "0")
	for i, b := range v.breaks {
		rec.say("%s", b)
		if i < 5 {
			fmt.Println(b)
		}
	}
	switch {
	case len(v.breaks) > 0:
		fmt.Printf("broken: %d times\n", len(v.breaks))
		return broken
	case err != nil:
		rec.say("not run: %v", err)
		fmt.Println("not run:", err)
		return notRun
	}
	fmt.Println("held")
	return held
}
