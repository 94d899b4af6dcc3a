package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/drain"
)

// stoppingRetryAfter is the retry delay at a stopping host: the load balancer connects the client to another one.
const stoppingRetryAfter = 100 * core.Millis(1)

// shutdown tells requests when their host stops, and how long they take. Its methods may be called concurrently.
type shutdown struct {
	clock core.Clock
	// began ends when the stop begins. window is set before that.
	began  context.Context
	begin  context.CancelFunc
	window atomic.Pointer[drain.Window]

	mu      sync.Mutex
	lengths *drain.Lengths
}

func newShutdown(clock core.Clock) *shutdown {
	s := &shutdown{clock: clock, lengths: drain.NewLengths()}
	s.began, s.begin = context.WithCancel(context.Background())
	return s
}

// start begins the stop, in which the work that is left is ended after the given time.
func (s *shutdown) start(work core.Millis) {
	now := s.clock.Now()
	s.window.Store(&drain.Window{Began: now, Ends: now + work})
	s.begin()
}

// elapsed returns the time since the stop began, or -1 if it has not begun.
func (s *shutdown) elapsed() core.Millis {
	w := s.window.Load()
	if w == nil {
		return -1
	}
	return s.clock.Now() - w.Began
}

// limit returns the earlier one of a deadline and the end of the work of a stopping host.
func (s *shutdown) limit(deadline core.Millis) core.Millis {
	if w := s.window.Load(); w != nil {
		return min(deadline, w.Ends)
	}
	return deadline
}

// cancelAt calls cancel once the host stops and the time has come that at returns then. The returned function ends that.
func (s *shutdown) cancelAt(cancel context.CancelFunc, at func(drain.Window) core.Millis) (unregister func() bool) {
	return context.AfterFunc(s.began, func() {
		// The timer may outlast the request, until the process ends.
		time.AfterFunc((at(*s.window.Load()) - s.clock.Now()).Duration(), cancel)
	})
}

// addLength records what a request has taken at its endpoint.
func (s *shutdown) addLength(route string, x drain.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lengths.Add(route, x)
}

// estimate returns how long a request takes at its endpoint, or 0 if that is not known.
func (s *shutdown) estimate(route string, size int) core.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lengths.Estimate(route, size)
}

// idleEnd returns the time from now until which idle connections stay open at a stopping host: as long as the requests of all routes
// could still end here.
func (s *shutdown) idleEnd() core.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.window.Load().LastStart(s.lengths.Longest()) - s.clock.Now()
}

// retainRoutes forgets the requests of all other routes.
func (s *shutdown) retainRoutes(routes map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lengths.Retain(func(route string) bool { return routes[route] })
}

// end returns when the request ends at the latest: at its deadline, or when the work of its stopping host ends.
func (r *request) end() core.Millis { return r.entry.shutdown.limit(r.deadline) }

// size returns what the time of the request at its endpoint grows with.
func (r *request) size() int { return max(1, r.incoming.Prompt.Output) }

// clientGone reports whether the client has closed its connection, or gets nothing more of its answer.
func (r *request) clientGone() bool {
	return r.httpRequest.Context().Err() != nil || r.buffer.Err() != nil
}

// untilEnd returns a context that ends when the request does.
func (r *request) untilEnd() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(r.httpRequest.Context(), (r.deadline - r.entry.clock.Now()).Duration())
	unregister := r.entry.shutdown.cancelAt(cancel, func(w drain.Window) core.Millis { return w.Ends })
	return ctx, func() {
		unregister()
		cancel()
	}
}

// untilLastStart returns a context that also ends when it is too late at a stopping host to send the request for the first time.
func (r *request) untilLastStart(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	unregister := r.entry.shutdown.cancelAt(cancel, func(w drain.Window) core.Millis {
		return w.LastStart(r.entry.shutdown.estimate(r.route.Name, r.size()))
	})
	return ctx, func() {
		unregister()
		cancel()
	}
}

// checkShutdown refuses a request that has not run if its host stops and the request would not end in time. Another host can take it.
func (r *request) checkShutdown() *core.Problem {
	s := r.entry.shutdown
	w := s.window.Load()
	if w == nil || r.mayHaveRun != "" {
		return nil
	}
	length, now := s.estimate(r.route.Name, r.size()), s.clock.Now()
	if now < w.LastStart(length) {
		return nil
	}
	return core.NewProblem(http.StatusServiceUnavailable, core.NotRun, core.ReasonHostStopping,
		"this host is stopping: %d ms left, %d ms expected", w.Ends-now, length).WithRetryAfter(stoppingRetryAfter)
}
