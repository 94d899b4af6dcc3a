package tests

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/drill"
	"cyclamenford/bench/runfolder"
	"cyclamenford/bench/strict"
	"cyclamenford/bench/watch"
)

// binary is the path of the program under test, which TestMain builds once.
var binary string

// parallelScenarios is a semaphore that limits the scenarios that run at once, because each runs up to eight processes.
var parallelScenarios = make(chan struct{}, 3)

// scenarioTimeout is the time limit of one scenario.
const scenarioTimeout = 3 * time.Minute

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "cyclamenford-tests-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binary = filepath.Join(folder, "cyclamenford")
	build := exec.Command("go", "build", "-o", binary, "cyclamenford")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// scenario is one file of testdata: a script, and limits that are checked in addition to the checks of every run.
type scenario struct {
	drill.Script
	// Uncut requires that no stream was interrupted, except at hosts that were killed.
	Uncut bool
	// MostCrashes is the maximum number of crashes caused by requests; with 0 no request may cause one.
	MostCrashes int
	// NeedAnswers, NeedCalls and NeedChanges are the minimum numbers of completed answers and calls and of accepted
	// changes, so that a run that did nothing fails.
	NeedAnswers, NeedCalls, NeedChanges int
}

func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	must.NoError(t, err)
	must.SliceNotEmpty(t, files)
	for _, file := range files {
		raw, err := os.ReadFile(file)
		must.NoError(t, err)
		var s scenario
		must.NoError(t, strict.Decode(raw, &s), must.Sprint(file))
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			parallelScenarios <- struct{}{}
			defer func() { <-parallelScenarios }()
			runScenario(t, s)
		})
	}
}

// runScenario runs one scenario and fails the test for each broken promise, or if too little was completed.
func runScenario(t *testing.T, s scenario) {
	ctx, cancel := context.WithTimeout(context.Background(), scenarioTimeout)
	defer cancel()
	folder := runfolder.New(t)
	x, err := drill.New(s.Script, binary, folder)
	must.NoError(t, err)
	defer func() { must.NoError(t, x.Close()) }()
	must.NoError(t, x.Start(ctx))
	runErr := x.Run(ctx)
	if runErr != nil {
		printLogs(t, folder)
	}
	must.NoError(t, runErr)
	r := x.Record()
	sums := summarize(r)
	t.Log(sums.text)
	if len(r.CrashTimes) > 0 {
		t.Log("crashes at", r.CrashTimes)
	}
	var broken []string
	broken = append(broken, watch.CheckAnswers(r, x.Expected)...)
	broken = append(broken, watch.CheckNotRun(r)...)
	broken = append(broken, watch.CheckAtMostOnce(r)...)
	broken = append(broken, watch.CheckSettings(r)...)
	broken = append(broken, watch.CheckNoWorkAfterLeave(r)...)
	broken = append(broken, watch.CheckPauses(r)...)
	broken = append(broken, watch.CheckLimits(r)...)
	broken = append(broken, watch.CheckCrashes(r, s.MostCrashes)...)
	if s.Uncut {
		broken = append(broken, watch.CheckUninterrupted(r)...)
	}
	for _, b := range broken {
		t.Error(b)
	}
	must.GreaterEq(t, s.NeedAnswers, sums.answers)
	must.GreaterEq(t, s.NeedCalls, sums.calls)
	must.GreaterEq(t, s.NeedChanges, sums.changes)
	if t.Failed() {
		printLogs(t, folder)
	}
}

// totals holds the numbers of completed answers, completed calls and accepted changes of a run, and a text for the log.
type totals struct {
	answers, calls, changes int
	text                    string
}

// summarize counts the outcomes of a run.
func summarize(r *watch.Record) totals {
	var d totals
	outcomes := map[string]int{}
	resumed := 0
	for _, a := range r.Answers {
		if a.Err != nil {
			outcomes["NoReply"]++
			continue
		}
		outcomes[string(a.Reply.Outcome)+" "+string(a.Reply.Reason)]++
		resumed += min(1, a.Reply.Resumes)
		if a.Reply.Outcome == "Completed" {
			d.answers++
		}
	}
	callReasons := map[string]int{}
	for _, c := range r.Calls {
		for _, reply := range c.Replies {
			callReasons[string(reply.Outcome)+" "+string(reply.Reason)]++
		}
		if n := len(c.Replies); n > 0 && c.Replies[n-1].Outcome == "Completed" {
			d.calls++
		}
	}
	for _, c := range r.Changes {
		if c.Accepted {
			d.changes++
		}
	}
	d.text = fmt.Sprintf("answers %v, resumed %d, calls completed %d of %d with replies %v, changes accepted %d of %d",
		outcomes, resumed, d.calls, len(r.Calls), callReasons, d.changes, len(r.Changes))
	return d
}

// printLogs logs the last bytes of each host's log after a failure.
func printLogs(t *testing.T, folder string) {
	const shown = 1500
	files, _ := filepath.Glob(filepath.Join(folder, "*.log"))
	for _, file := range files {
		raw, _ := os.ReadFile(file)
		if len(raw) > shown {
			raw = raw[len(raw)-shown:]
		}
		t.Logf("%s:\n%s", filepath.Base(file), raw)
	}
}
