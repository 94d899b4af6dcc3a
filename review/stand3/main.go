package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// longestRun ends a script that does not end by itself.
const longestRun = 115 * time.Second

// script is one case: the number of its entry hosts, its configuration, and what it plays.
type script struct {
	edges int
	play  func(l *lab) error
}

var scripts = map[string]script{
	"carried": {edges: 3, play: playCarried},
	"foreign": {edges: 3, play: playForeign},
	"staged":  {edges: 3, play: playStaged},
	"silent":  {edges: 3, play: playSilent},
}

func main() { os.Exit(run(os.Args[1:])) }

// run plays a script: its name, the program to test and the path of the record.
func run(args []string) int {
	if len(args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand3 SCRIPT PROGRAM RECORD")
		return exitFailed
	}
	s, ok := scripts[args[0]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown script", args[0])
		return exitFailed
	}
	out, err := os.Create(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = out.Close() }()
	folder, err := os.MkdirTemp("", "stand3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	j := &journal{began: time.Now(), out: out}
	trouble := os.Getenv("TROUBLE") != "0"
	j.note("script %s, trouble %t", args[0], trouble)
	l, err := newLab(j, args[1], folder, trouble, s.edges)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer l.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- s.play(l) }()
	select {
	case err = <-ended:
	case <-interrupted:
		err = fmt.Errorf("interrupted")
	case <-time.After(longestRun):
		err = fmt.Errorf("not done after %v", longestRun)
	}
	if err != nil {
		j.note("the script could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitFailed
	}
	if n := j.breachCount(); n > 0 {
		fmt.Printf("rule broken: %d times, see the record\n", n)
		return exitBroken
	}
	fmt.Println("rule held")
	return exitHeld
}
