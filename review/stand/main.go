package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// playLimit ends a case that takes too long, before the 120 s that a script may take.
const playLimit = 110 * time.Second

// errStopped means that a case was ended from outside or took too long.
var errStopped = errors.New("the case was stopped or took too long")

// The exit codes of a case.
const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2
)

// play is one case. It reports an error if it could not run.
type play func(d *deployment, trouble bool) error

// plays holds the cases by name, with the number of entry hosts that each needs.
var plays = map[string]struct {
	entries int
	// proxied means that the hosts reach each other through a proxy that can cut one of them off.
	proxied bool
	run     play
}{
	"stopping": {2, false, playStopping},
	"copies":   {2, false, playCopies},
	"queued":   {2, false, playQueued},
	"upgraded": {2, false, playUpgraded},
	"revoked":  {2, true, playRevoked},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(name, folder string, trouble bool) int {
	p, ok := plays[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.file.Close()
	n, err := loadNames()
	if err != nil {
		r.note("not run: %v", err)
		return exitNotRun
	}
	r.note("case %s, trouble %v", name, trouble)
	d, err := newDeployment(n, r, p.entries, p.proxied)
	if d != nil {
		defer d.close()
	}
	if err == nil {
		err = runLimited(d, p.run, trouble)
	}
	switch {
	case r.broken() > 0:
		r.note("the rule was broken %d times", r.broken())
		return exitBroken
	case err != nil:
		r.note("not run: %v", err)
		return exitNotRun
	}
	r.note("the rule held")
	return exitHeld
}

// runLimited runs a case until it ends, takes too long or is stopped by a signal, so that the hosts are ended in any case.
func runLimited(d *deployment, p play, trouble bool) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- p(d, trouble) }()
	select {
	case err := <-ended:
		return err
	case <-stop:
	case <-time.After(playLimit):
	}
	return errStopped
}
