package load

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cyclamenford/core"
	"cyclamenford/io/caller"
	"cyclamenford/io/flow"
)

const (
	maxMicros = 10 * 60 * 1000 * 1000
	digits    = 3
)

// Report is what a run measured.
type Report struct {
	Scenario string
	Seconds  float64
	Rows     []*Row
	Stages   []StageCost
	Timeline []Second
	Fairness float64
	// Reasons counts what was not answered by its outcome and reason.
	Reasons map[string]int
	// Details gives one example for each reason.
	Details []string
	mu      sync.Mutex
	stages  map[string]*StageCost
}

// Row is one priority or one team.
type Row struct {
	// Kind is Priority or Team.
	Kind, Name string
	Sent       int
	InTime     int
	Late       int
	Refused    int
	Failed     int
	Unknown    int
	NoReply    int
	First      Quantiles
	Gap        Quantiles
	Whole      Quantiles
	first      *hdrhistogram.Histogram
	gap        *hdrhistogram.Histogram
	whole      *hdrhistogram.Histogram
}

// Quantiles of a time in milliseconds.
type Quantiles struct{ P50, P95, P99 float64 }

// StageCost is the time that a stage took at endpoints.
type StageCost struct {
	Name     string
	Runs     int
	MeanMs   float64
	Attempts int
	total    float64
}

// Second counts what ended within one second of the run.
type Second struct{ InTime, Refused, Other int }

func newReport(s Scenario) *Report {
	return &Report{Scenario: s.Name, Reasons: map[string]int{}, stages: map[string]*StageCost{}}
}

func (r *Report) row(kind, name string) *Row {
	for _, x := range r.Rows {
		if x.Kind == kind && x.Name == name {
			return x
		}
	}
	x := &Row{Kind: kind, Name: name}
	x.first, x.gap, x.whole = hdrhistogram.New(1, maxMicros, digits), hdrhistogram.New(1, maxMicros, digits), hdrhistogram.New(1, maxMicros, digits)
	r.Rows = append(r.Rows, x)
	return x
}

func (r *Report) add(k Kind, t Team, q caller.Request, reply caller.Reply, err error, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range []*Row{r.row("Priority", k.Priority.String()), r.row("Team", t.Name)} {
		row.add(q, reply, err)
	}
	r.count(at, q, reply, err)
	if err != nil {
		r.Reasons["NoReply"]++
	} else if reply.Outcome != core.Completed {
		name := string(reply.Outcome) + " " + string(reply.Reason)
		r.Reasons[name]++
		if r.Reasons[name] == 1 {
			r.Details = append(r.Details, name+": "+reply.Detail)
		}
	}
	var stages []flow.StageTime
	if json.Unmarshal(reply.Stages, &stages) != nil {
		return
	}
	for _, s := range stages {
		c, ok := r.stages[s.Name]
		if !ok {
			c = &StageCost{Name: s.Name}
			r.stages[s.Name] = c
		}
		c.Runs++
		c.Attempts += s.Attempts
		c.total += float64(s.Ms)
	}
}

func (row *Row) add(q caller.Request, reply caller.Reply, err error) {
	row.Sent++
	switch {
	case err != nil:
		row.NoReply++
	case reply.Outcome == core.Completed && reply.Took <= q.DeadlineMs.Duration():
		row.InTime++
	case reply.Outcome == core.Completed:
		row.Late++
	case reply.Outcome == core.NotRun:
		row.Refused++
	case reply.Outcome == core.Unknown:
		row.Unknown++
	default:
		row.Failed++
	}
	if err != nil || reply.Outcome != core.Completed {
		return
	}
	_ = row.first.RecordValue(reply.First.Microseconds())
	_ = row.whole.RecordValue(reply.Took.Microseconds())
	for _, g := range reply.Gaps {
		_ = row.gap.RecordValue(g.Microseconds())
	}
}

func (r *Report) count(at time.Duration, q caller.Request, reply caller.Reply, err error) {
	n := int(at / time.Second)
	for len(r.Timeline) <= n {
		r.Timeline = append(r.Timeline, Second{})
	}
	s := &r.Timeline[n]
	switch {
	case err == nil && reply.Outcome == core.Completed && reply.Took <= q.DeadlineMs.Duration():
		s.InTime++
	case err == nil && reply.Outcome == core.NotRun:
		s.Refused++
	default:
		s.Other++
	}
}

func (r *Report) progress() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sum Second
	for _, s := range r.Timeline {
		sum.InTime += s.InTime
		sum.Refused += s.Refused
		sum.Other += s.Other
	}
	return fmt.Sprintf("in time %d  refused %d  other %d", sum.InTime, sum.Refused, sum.Other)
}

func (r *Report) finish(took time.Duration) {
	r.Seconds = took.Seconds()
	slices.SortFunc(r.Rows, func(a, b *Row) int {
		return slices.Compare([]string{a.Kind, a.Name}, []string{b.Kind, b.Name})
	})
	sum, squares, n := 0.0, 0.0, 0.0
	for _, row := range r.Rows {
		row.First, row.Gap, row.Whole = quantiles(row.first), quantiles(row.gap), quantiles(row.whole)
		if row.Kind == "Team" {
			x := row.Attainment()
			sum += x
			squares += x * x
			n++
		}
	}
	if squares > 0 {
		r.Fairness = sum * sum / (n * squares)
	}
	for _, c := range r.stages {
		c.MeanMs = c.total / float64(c.Runs)
		r.Stages = append(r.Stages, *c)
	}
	slices.SortFunc(r.Stages, func(a, b StageCost) int { return slices.Compare([]string{a.Name}, []string{b.Name}) })
}

// Attainment returns the part of the requests that were answered in time.
func (row *Row) Attainment() float64 {
	return float64(row.InTime) / float64(max(1, row.Sent))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}

// Save writes the report as JSON.
func (r *Report) Save(path string) error {
	raw, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	if err := os.WriteFile(path, raw, 0o644); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// Read reads a saved report.
func Read(path string) (*Report, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read report: %w", err)
	}
	var r Report
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, fmt.Errorf("decode report %s: %w", path, err)
	}
	return &r, nil
}
