package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// stagedTime is the length of the load and stagedRate the number of requests in a second, and layoutPieces are the numbers of pieces of
	// the stages.
	stagedTime, stagedRate = 48 * time.Second, 11.0
	layoutPieces           = "1,2,2"
	// callTime is the work of a call.
	callTime = 200 * time.Millisecond
	// keepTime is how long a runner keeps a result.
	keepTime = 4 * time.Second
	// troublePeriod is the time between two rounds of trouble. In each, a runner of the last stage is dark for darkTime, and after crashAfter a
	// runner of the stage before crashes, which is down for fieldsDown.
	troublePeriod, darkTime, crashAfter, fieldsDown = 4 * time.Second, 1200 * time.Millisecond, 250 * time.Millisecond, 2 * time.Second
)

// pieceTimes are the times of work of a piece by its stage.
var pieceTimes = map[int]time.Duration{0: 17 * time.Millisecond, 1: 7800 * time.Microsecond, 2: 3100 * time.Microsecond}

// store holds the results of all runners of stages, by handle.
type store struct {
	mu      sync.Mutex
	results map[string]made
}

// made is a result that a runner holds.
type made struct {
	runner *runner
	born   int64
	id     string
	at     time.Time
}

func (r *runner) incarnation() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.born
}

// holds reports whether a result still exists, and whether it is of the given request.
func (s *store) holds(handle, id string) (exists, own bool) {
	s.mu.Lock()
	m, ok := s.results[handle]
	s.mu.Unlock()
	return ok && m.runner.incarnation() == m.born && m.runner.alive() && time.Since(m.at) < keepTime, ok && m.id == id
}

// free drops the results that the body of a call names.
func (s *store) free(body string) {
	var call struct{ Handles []string }
	// A call that cannot be read frees nothing: the results expire.
	_ = json.Unmarshal([]byte(body), &call)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range call.Handles {
		delete(s.results, h)
	}
}

// alive reports whether an incarnation of the runner runs.
func (r *runner) alive() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.stopped:
		return false
	default:
		return true
	}
}

// stageCall is the body of a call of pieces.
type stageCall struct {
	Items []struct {
		ID     string
		Stage  int
		Piece  int
		Key    string
		Inputs []string
	}
}

// serveStage runs the pieces of a call, or frees results.
func (s *store) serveStage(x *exchange) bool {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: application/json\r\n", names.RequestID, x.id)
	if x.RequestURI == names.StageFree {
		s.free(x.body)
		return x.write("%sContent-Length: 2\r\n\r\n{}", head)
	}
	l, r := x.runner.lab, x.runner
	var call stageCall
	if err := json.Unmarshal([]byte(x.body), &call); err != nil {
		l.breach("a call of pieces cannot be read: %q", x.body)
		return false
	}
	born := r.incarnation()
	for r.isSilent() {
		time.Sleep(10 * time.Millisecond)
	}
	results := make([]map[string]string, len(call.Items))
	work := callTime
	for n, i := range call.Items {
		work += pieceTimes[i.Stage]
		if i.Stage > 0 && (len(i.Inputs) == 0 || i.Inputs[0] == "") {
			l.breach("piece %d of stage %d of request %s is given no input: %q", i.Piece, i.Stage, i.ID, i.Inputs)
		}
		for _, input := range i.Inputs {
			exists, own := s.holds(input, i.ID)
			if !exists {
				results[n] = map[string]string{"reason": "gone"}
			}
			if exists && !own {
				l.breach("piece %d of stage %d of request %s is given a foreign input %q", i.Piece, i.Stage, i.ID, input)
			}
		}
	}
	time.Sleep(work)
	for r.isDark() || r.incarnation() != born {
		if r.incarnation() != born {
			return false
		}
		time.Sleep(10 * time.Millisecond)
	}
	gone := 0
	for n, i := range call.Items {
		if results[n] != nil {
			gone++
			continue
		}
		handle := fmt.Sprintf("%s/%016x", r.address, rand.Uint64())
		results[n] = map[string]string{"handle": handle}
		s.mu.Lock()
		s.results[handle] = made{runner: r, born: born, id: i.ID, at: time.Now()}
		s.mu.Unlock()
	}
	l.note("call %s at %s: %d pieces, %d without their input, %v", x.id, r.id, len(call.Items), gone, work)
	raw, err := json.Marshal(map[string]any{"items": results})
	if err != nil {
		panic(err)
	}
	return x.write("%sContent-Length: %d\r\n\r\n%s", head, len(raw), raw)
}

// serveLayout answers a layout with a short stream, if its inputs exist.
func (s *store) serveLayout(x *exchange) bool {
	for _, input := range strings.Split(x.Header.Get(names.Inputs), ",") {
		exists, own := s.holds(input, x.id)
		if !exists {
			return x.write("HTTP/1.1 409 Conflict\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", names.RequestID, x.id, names.NotExecuted)
		}
		if !own {
			x.runner.lab.breach("request %s is given a foreign input %q", x.id, input)
		}
	}
	body := event(x.id, 1) + event(x.id, 2)
	return x.write("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s",
		names.RequestID, x.id, names.Stamp, x.stamp(), len(body), body)
}

// playStaged sends requests with three stages. Again and again, one runner of the last stage is dark for some time, and one of the stage before
// crashes, so that results are lost.
func playStaged(l *lab) error {
	s := &store{results: map[string]made{}}
	return l.playLayouts(stagedTime, stagedRate, s.serveStage, s.serveLayout, func(byService map[string][]*runner, n int) error {
		return trouble(byService["portal"][n%4], byService["fields"][n%4])
	})
}

// playLayouts starts a deployment with three or four runners of each service, sends layouts, and begins a round of trouble after each troublePeriod.
func (l *lab) playLayouts(length time.Duration, rate float64, stage, layout func(x *exchange) bool, trouble func(byService map[string][]*runner, n int) error) error {
	byService := map[string][]*runner{}
	for i, service := range []string{"model", "model", "model", "model", "plans", "plans", "plans", "fields", "fields", "fields", "fields", "portal", "portal", "portal", "portal"} {
		r := &runner{
			lab: l, id: fmt.Sprint("i-", service, i), service: service, zone: zones[len(byService[service])%len(zones)], version: "v1",
			ip: fmt.Sprintf("127.83.2.%d", i+1), slots: 1, serve: stage,
		}
		if service == "model" {
			r.slots, r.serve = 64, layout
		}
		if err := r.start(); err != nil {
			return err
		}
		byService[service] = append(byService[service], r)
	}
	if err := l.startAll(text("staged.json", map[string]string{"VERSION": "1"})); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { l.sendLayouts(rate, stop) })
	for began, n := time.Now(), 0; time.Since(began) < length; n++ {
		if l.trouble {
			if err := trouble(byService, n); err != nil {
				return err
			}
		}
		time.Sleep(time.Until(began.Add(time.Duration(n+1) * troublePeriod)))
	}
	close(stop)
	clients.Wait()
	return nil
}

// trouble lets one runner go dark and crashes another one meanwhile.
func trouble(dark, crashing *runner) error {
	if err := dark.goDark(); err != nil {
		return err
	}
	time.Sleep(crashAfter)
	crashing.crash()
	time.Sleep(darkTime - crashAfter)
	dark.crash()
	if err := dark.start(); err != nil {
		return err
	}
	time.Sleep(fieldsDown - darkTime + crashAfter)
	return crashing.start()
}

// sendLayouts sends requests at random times until stop closes, and waits for their answers.
func (l *lab) sendLayouts(rate float64, stop <-chan struct{}) {
	var sent sync.WaitGroup
	defer sent.Wait()
	for n := 0; ; n++ {
		sent.Go(func() {
			q := question{id: l.newID(), method: http.MethodPost, path: "/layout/1", deadline: 8 * time.Second, header: http.Header{}}
			q.body = "the plan " + q.id
			q.header.Set(names.Model, "m")
			q.header.Set(names.TokenCount, "200,60")
			q.header.Set(names.PromptPrefix, "5c1e07a2:120,"+q.id+":80")
			q.header.Set(names.Pieces, layoutPieces)
			q.header.Set(names.PieceKey, "key-"+q.id)
			l.ask(l.edges[n%len(l.edges)], q)
		})
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / rate * float64(time.Second))):
		}
	}
}
