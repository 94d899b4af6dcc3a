package tests

import (
	"context"
	"fmt"
	"os"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/runfolder"
	"cyclamenford/bench/site"
	"cyclamenford/bench/soak"
	"cyclamenford/bench/strict"
	"cyclamenford/core"
)

// soakSeed is one row of testdata/soak/seeds.json: a short run for CI, or a run that failed once, with the cause in Why.
type soakSeed struct {
	Seed       uint64
	Deployment string
	Hosts      int
	RunMs      core.Millis
	Why        string
}

// TestSoak runs deployments under load and random faults, for each listed seed, and fails if a promise is broken.
func TestSoak(t *testing.T) {
	raw, err := os.ReadFile("testdata/soak/seeds.json")
	must.NoError(t, err)
	var seeds []soakSeed
	must.NoError(t, strict.Decode(raw, &seeds))
	must.SliceNotEmpty(t, seeds)
	for _, s := range seeds {
		t.Run(fmt.Sprint(s.Deployment, "_", s.Seed), func(t *testing.T) {
			t.Parallel()
			parallelScenarios <- struct{}{}
			defer func() { <-parallelScenarios }()
			folder := runfolder.New(t)
			r := soak.RunSeed(context.Background(), soak.Options{
				Binary: binary, Folder: folder, Deployment: s.Deployment, Hosts: s.Hosts, RunMs: s.RunMs,
			}, s.Seed)
			t.Logf("%+v", r)
			if len(r.Broken) > 0 {
				printLogs(t, r.Folder)
			}
			must.SliceEmpty(t, r.Broken)
			// Without answers, calls and changes the run would prove nothing.
			must.Positive(t, r.Answers)
			must.Positive(t, r.Calls)
			must.Positive(t, r.Changes)
		})
	}
}

// TestSoakSeriesRepeat checks that a seed always gives the same series of faults, that seeds give different series, and
// that each series ends with the repair of all faults. Otherwise failures could not be reproduced, or runs could end
// broken.
func TestSoakSeriesRepeat(t *testing.T) {
	const run = 20 * core.Second
	d := site.SawtLoop()
	first := soak.GenerateScript(1, d, run)
	must.Eq(t, first, soak.GenerateScript(1, d, run))
	must.NotEq(t, first.Steps, soak.GenerateScript(2, d, run).Steps)
	wiped := 0
	for n := range uint64(200) {
		steps := soak.GenerateScript(n, d, run).Steps
		healed, started := false, false
		for _, s := range steps {
			if s.Do == "StartAll" || s.Do == "KillAll" {
				started = s.Do == "StartAll"
			}
			healed = healed || s.Do == "HealAll"
			if s.Do == "Wipe" {
				wiped++
			}
			// After the repair only steps that inject no further fault may follow, and those of the losses in series.
			lost := soak.LosesDisksInSeries(n) && slices.Contains([]string{"Kill", "Wipe", "Start", "KillAll"}, s.Do)
			must.True(t, !healed || s.Do == "HealAll" || s.Do == "StartAll" || s.Do == "Mark" || lost, must.Sprint(n, s))
		}
		must.True(t, healed && started)
	}
	must.Positive(t, wiped)
}
