package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"cyclamenford/bench/drill"
	"cyclamenford/bench/site"
	"cyclamenford/bench/watch"
	"cyclamenford/core"
)

const (
	// checkEvery is the time between two checks of the promises during a run.
	checkEvery = 500 * time.Millisecond
	// overhead is how long a run may take beyond its load, to start, to heal and to settle.
	overhead = 3 * time.Minute
	// probeLimit is how long a healed deployment may take to complete a request of each kind.
	probeLimit = 20 * time.Second
)

// ErrBroken means that a run broke a promise.
var ErrBroken = errors.New("the soak found a broken promise")

// Options shape a soak.
type Options struct {
	// Binary is the program under test, and Folder where the logs and data of runs go; those of sound runs are removed.
	Binary, Folder string
	// Seed is the first seed, Seeds their number and Jobs how many run at once.
	Seed        uint64
	Seeds, Jobs int
	// Deployment is an example's name; empty takes one by the seed.
	Deployment string
	// Hosts is the number of hosts; 0 takes the example's.
	Hosts int
	RunMs core.Millis
}

// Report tells of one run.
type Report struct {
	Seed       uint64
	Deployment string
	Hosts      int
	Faults     int
	// Answers, Calls and Changes were completed or accepted.
	Answers, Calls, Changes int
	// Broken tells of each broken promise; Folder then holds the logs.
	Broken []string
	Folder string
}

// Run plays every seed, writes a line for each to out and returns ErrBroken if a promise did not hold.
func Run(ctx context.Context, o Options, out io.Writer) error {
	var (
		mu     sync.Mutex
		wg     sync.WaitGroup
		broken bool
	)
	free := make(chan struct{}, o.Jobs)
	for i := range o.Seeds {
		free <- struct{}{}
		wg.Go(func() {
			defer func() { <-free }()
			r := Play(ctx, o, o.Seed+uint64(i))
			line, err := json.Marshal(r)
			mu.Lock()
			defer mu.Unlock()
			broken = broken || err != nil || len(r.Broken) > 0
			fmt.Fprintln(out, string(line))
		})
	}
	wg.Wait()
	if broken {
		return ErrBroken
	}
	return nil
}

// Play runs one seed and ends only the processes that it has started.
func Play(ctx context.Context, o Options, seed uint64) Report {
	r := Report{Seed: seed, Deployment: o.Deployment, Folder: filepath.Join(o.Folder, fmt.Sprint("seed-", seed))}
	if r.Deployment == "" {
		r.Deployment = []string{"Flueshare", "SawtLoop"}[seed%2]
	}
	err := play(ctx, o, &r)
	if err != nil {
		r.Broken = append(r.Broken, err.Error())
	}
	if len(r.Broken) == 0 {
		if err := os.RemoveAll(r.Folder); err != nil {
			r.Broken = append(r.Broken, fmt.Sprintf("remove the run's folder: %v", err))
		}
		r.Folder = ""
	}
	return r
}

func play(ctx context.Context, o Options, r *Report) (err error) {
	d, ok := site.ByName(r.Deployment)
	if !ok {
		return fmt.Errorf("unknown deployment %q", r.Deployment)
	}
	if o.Hosts > 0 {
		d = d.WithHosts(o.Hosts)
	}
	r.Hosts = len(d.Hosts)
	script := Series(r.Seed, d, o.RunMs)
	r.Faults = len(script.Steps)
	if err := writeScript(r.Folder, script); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, o.RunMs.Duration()+overhead)
	defer cancel()
	x, err := drill.New(script, o.Binary, r.Folder)
	if err != nil {
		return fmt.Errorf("prepare: %w", err)
	}
	defer func() { err = errors.Join(err, x.Close()) }()
	if err := x.Start(ctx); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	err = runChecked(ctx, x)
	if err == nil {
		err = x.Probe(ctx, probeLimit)
	}
	record := x.Record()
	r.count(record)
	r.Broken = append(watch.CheckRunning(record, x.Expected), watch.CheckSettings(record)...)
	return err
}

// runChecked runs the script and ends it early when a promise is broken.
func runChecked(ctx context.Context, x *drill.Drill) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- x.Run(ctx) }()
	ticker := time.NewTicker(checkEvery)
	defer ticker.Stop()
	for {
		select {
		case err := <-done:
			return err
		case <-ticker.C:
			if len(watch.CheckRunning(x.Record(), x.Expected)) > 0 {
				cancel()
				return errors.Join(<-done, ErrBroken)
			}
		}
	}
}

// writeScript keeps the series beside the logs, so that a finding can be read without running it again.
func writeScript(folder string, s drill.Script) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("make the run's folder: %w", err)
	}
	raw, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return fmt.Errorf("encode the series: %w", err)
	}
	if err := os.WriteFile(filepath.Join(folder, "script.json"), raw, 0o600); err != nil {
		return fmt.Errorf("write the series: %w", err)
	}
	return nil
}

func (r *Report) count(record *watch.Record) {
	for _, a := range record.Answers {
		if a.Err == nil && a.Reply.Outcome == core.Completed {
			r.Answers++
		}
	}
	for _, c := range record.Calls {
		if n := len(c.Replies); n > 0 && c.Replies[n-1].Outcome == core.Completed {
			r.Calls++
		}
	}
	for _, c := range record.Changes {
		if c.Accepted {
			r.Changes++
		}
	}
}
