package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// workTime is the work of a plain request, eventGap the time between two events of a stream, and eventCount their number.
	workTime   = 60 * time.Millisecond
	eventGap   = 100 * time.Millisecond
	eventCount = 12
	// plainGap and streamGap are the times between two requests of the clients of one entry host.
	plainGap  = 40 * time.Millisecond
	streamGap = 250 * time.Millisecond
	// cutTime is how long the entry host is cut off from all runners, and downTime how long a killed process stays down.
	cutTime, downTime = 10 * time.Second, 3 * time.Second
)

// plainBody is the whole answer to a plain request.
func plainBody(id string) string { return strings.Repeat(id+" ", 48) }

// eventsBody is the whole answer to a stream.
func eventsBody(id string) string {
	var b strings.Builder
	for i := range eventCount {
		b.WriteString(event(id, i+1))
	}
	return b.String()
}

func event(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d\n\n", number, id, number)
}

// serveUntilClose answers with neither a length nor chunks: the answer ends with its connection.
func serveUntilClose(x *exchange) bool {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nConnection: close\r\n", names.RequestID, x.id, names.Stamp, x.stamp())
	if x.runner.service == "model" {
		if !x.write("%sContent-Type: text/event-stream\r\n\r\n", head) {
			return false
		}
		for i := range eventCount {
			if !x.write("%s", event(x.id, i+1)) {
				return false
			}
			time.Sleep(eventGap)
		}
		return false
	}
	body := plainBody(x.id)
	if x.write("%sContent-Type: text/plain\r\n\r\n%s", head, body[:len(body)/2]) {
		time.Sleep(workTime)
		x.write("%s", body[len(body)/2:])
	}
	return false
}

// playCarried cuts one entry host off from all runners for some seconds, so that other hosts carry its connections, and kills these one
// after the other meanwhile. An answer whose connection through a killed host ends is not complete.
func playCarried(l *lab) error {
	var runners []*runner
	for i, service := range []string{"booking", "booking", "booking", "model", "model", "model"} {
		r := &runner{
			lab: l, id: fmt.Sprint("i-", service, i), service: service, zone: zones[i%len(zones)], version: "v1",
			ip: fmt.Sprintf("127.83.2.%d", i+1), slots: 6, serve: serveUntilClose,
		}
		if service == "model" {
			r.slots = 64
		}
		if err := r.start(); err != nil {
			return err
		}
		runners = append(runners, r)
	}
	if err := l.startAll(text("config.json", map[string]string{"VERSION": "1"})); err != nil {
		return err
	}
	cut, carriers := l.edges[0], l.edges[1:]
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { l.sendPlain(cut, stop) })
	clients.Go(func() { l.sendStreams(cut, stop) })
	time.Sleep(4 * time.Second)
	cutAll := func(ip string) error {
		for _, r := range runners {
			if err := r.cutFrom(ip); err != nil {
				return err
			}
		}
		return nil
	}
	if l.trouble {
		l.note("%s is cut off from all runners", cut.name)
		if err := cutAll(cut.ip); err != nil {
			return err
		}
	}
	time.Sleep(cutTime / 3)
	for _, h := range carriers {
		if l.trouble {
			l.kill(h)
		}
		time.Sleep(downTime)
		if l.trouble {
			if err := l.start(h, false); err != nil {
				return err
			}
		}
		time.Sleep(time.Second)
	}
	if l.trouble {
		l.note("the cut ends")
		if err := cutAll(""); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)
	close(stop)
	clients.Wait()
	return nil
}

// sendPlain sends plain requests to an entry host until stop closes, and waits for their answers.
func (l *lab) sendPlain(h *host, stop <-chan struct{}) {
	l.sendEach(stop, plainGap, func(n int) {
		q := question{id: l.newID(), method: http.MethodGet, path: "/lookup/1", deadline: 3 * time.Second}
		if n%2 == 0 {
			q.method, q.path, q.body = http.MethodPost, "/order/1", "one crew"
		}
		l.checkWhole(l.ask(h, q), plainBody(q.id))
	})
}

// sendStreams is sendPlain for streams that may not be resumed.
func (l *lab) sendStreams(h *host, stop <-chan struct{}) {
	l.sendEach(stop, streamGap, func(int) {
		q := question{id: l.newID(), method: http.MethodPost, path: "/question/1", body: "why", deadline: 6 * time.Second, header: http.Header{}}
		q.header.Set(names.Model, "m")
		q.header.Set(names.TokenCount, "200,60")
		q.header.Set(names.PromptPrefix, "5c1e07a2:120,"+q.id+":80")
		l.checkWhole(l.ask(h, q), eventsBody(q.id))
	})
}

// sendEach calls send at an interval, each time in a goroutine of its own, until stop closes, and waits for them.
func (l *lab) sendEach(stop <-chan struct{}, gap time.Duration, send func(n int)) {
	var sent sync.WaitGroup
	defer sent.Wait()
	for n := 0; ; n++ {
		sent.Go(func() { send(n) })
		select {
		case <-stop:
			return
		case <-time.After(gap):
		}
	}
}

// checkWhole records a breach if a success that looks complete is not the runner's whole answer.
func (l *lab) checkWhole(r result, want string) {
	if r.status == http.StatusOK && r.whole && (r.body != want || r.stamp == "") {
		l.breach("%s %s: a success that looks complete has %d of %d bytes", r.id, r.path, len(r.body), len(want))
	}
}
