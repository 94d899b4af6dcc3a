package site

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/shoenig/test/must"

	"cyclamenford/bench/stand"
	"cyclamenford/core"
	"cyclamenford/io/caller"
	"cyclamenford/io/dial"
	"cyclamenford/io/meter"
	"cyclamenford/io/trace"
)

// startHopSite starts one host and its stand-ins. The limits of the teams are removed so that they do not affect the
// results.
func startHopSite(b *testing.B, tune func(*stand.Options)) (*Site, context.Context) {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	b.Cleanup(cancel)
	d := oneHostDeployment()
	for id, t := range d.Tree.Teams {
		t.Limits.Concurrency, t.Limits.RequestsPerSecond, t.Limits.TokensPerSecond = 0, 0, 0
		d.Tree = d.Tree.WithTeam(id, t)
	}
	s, err := New(d, slog.New(slog.DiscardHandler), nil)
	must.NoError(b, err)
	b.Cleanup(func() { _ = s.Close() })
	must.NoError(b, s.StartHosts(ctx))
	must.NoError(b, s.AwaitReady(ctx))
	_, err = s.ImportTree(ctx)
	must.NoError(b, err)
	must.NoError(b, s.StartStandIns(ctx, tune))
	must.NoError(b, s.AwaitEndpoints(ctx))
	return s, ctx
}

// BenchmarkCallDirect measures a plain call sent to an endpoint without a host.
func BenchmarkCallDirect(b *testing.B) {
	s, _ := startHopSite(b, func(o *stand.Options) { o.WorkMs = 0 })
	address := s.StandIn("plan-1").Address()
	body, err := json.Marshal(dial.Run{RequestID: "r", AttemptID: "a", Kind: core.Plain, Model: "plans", Call: "read"})
	must.NoError(b, err)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		resp, err := http.Post("http://"+address+"/v1/run", "application/json", bytes.NewReader(body))
		must.NoError(b, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

// BenchmarkCallThroughHost measures the same call sent through a host.
func BenchmarkCallThroughHost(b *testing.B) {
	s, ctx := startHopSite(b, func(o *stand.Options) { o.WorkMs = 0 })
	q := caller.Request{Path: "/v1/services/plans/read", Key: s.Deployment.Keys["clinics"], Body: []byte(`{}`)}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		r, err := s.Callers.Do(ctx, s.CallerHosts(0), q)
		must.NoError(b, err)
		must.Eq(b, core.Completed, r.Outcome)
	}
}

const (
	hopTokens  = 10
	hopTokenMs = 34
)

// streamThroughHost reads one stream through the host and returns the gaps between its events.
func streamThroughHost(ctx context.Context, s *Site, i int) ([]time.Duration, error) {
	q := caller.Request{
		Path: "/v1/pipelines/field-answer", Key: s.Deployment.Keys["clinics"], Stream: true, DeadlineMs: 60_000,
		Body: fmt.Appendf(nil, `{"Prompt":"%d"}`, i),
	}
	r, err := s.Callers.Do(ctx, s.CallerHosts(0), q)
	if err == nil && r.Outcome != core.Completed {
		err = fmt.Errorf("%s: %s", r.Reason, r.Detail)
	}
	return r.Gaps, err
}

// streamDirect reads one stream from an endpoint and returns the gaps between its events.
func streamDirect(ctx context.Context, s *Site, c *dial.Client, i int) ([]time.Duration, error) {
	run := dial.Run{
		RequestID: "r", AttemptID: core.AttemptID(fmt.Sprint("direct-", i)), Kind: core.Generate, Model: "loop-7b",
		MaxTokens: hopTokens, ResumeGraceMs: 1000,
	}
	on := core.Target{Address: s.StandIn(core.EndpointID(fmt.Sprint("runner-", 1+i%20))).Address()}
	stream, err := c.Stream(ctx, on, run)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	var gaps []time.Duration
	last := time.Time{}
	for {
		e, err := stream.Next()
		if err != nil || e.Done {
			return gaps, err
		}
		now := time.Now()
		if !last.IsZero() {
			gaps = append(gaps, now.Sub(last))
		}
		last = now
	}
}

// BenchmarkStreams reports by how much the gaps between events exceed the time per token of the endpoint, for streams
// that are read directly and through a host.
func BenchmarkStreams(b *testing.B) {
	for _, streams := range []int{1, 100, 2000} {
		for _, through := range []bool{false, true} {
			b.Run(fmt.Sprintf("streams=%d/throughHost=%v", streams, through), func(b *testing.B) {
				s, ctx := startHopSite(b, func(o *stand.Options) { o.Slots, o.TokenMs, o.Tokens = 128, hopTokenMs, hopTokens })
				c := dial.New(nil, nil, trace.New(trace.Options{}), func(core.Life, dial.EndpointState) {}, nil, meter.New(), slog.New(slog.DiscardHandler))
				read := func(i int) ([]time.Duration, error) { return streamDirect(ctx, s, c, i) }
				if through {
					read = func(i int) ([]time.Duration, error) { return streamThroughHost(ctx, s, i) }
				}
				for range b.N {
					measureStreams(b, streams, read)
				}
			})
		}
	}
}

// measureStreams reads the given number of streams concurrently and reports the median and the 99th percentile of the
// gaps, less the time per token, and the bytes allocated per event.
func measureStreams(b *testing.B, streams int, read func(i int) ([]time.Duration, error)) {
	gaps := hdrhistogram.New(1, 60_000_000, 3)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			found, err := read(i)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				b.Error(err)
			}
			for _, g := range found {
				_ = gaps.RecordValue(g.Microseconds())
			}
		})
	}
	wg.Wait()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(gaps.ValueAtQuantile(50)-hopTokenMs*1000), "p50-us")
	b.ReportMetric(float64(gaps.ValueAtQuantile(99)-hopTokenMs*1000), "p99-us")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/float64(streams*hopTokens), "allocated-B/event")
}
