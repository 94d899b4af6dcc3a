package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// eventGap is the time between two events of a stream; the route allows 300 ms.
	eventGap = 100 * time.Millisecond
	// streamsEnd is when the streams end by themselves, after SIGTERM: before the last sixth of the grace period begins, which is
	// at 6.667 s.
	streamsEnd = 6500 * time.Millisecond
	// streams is the number of streams, which clients begin from firstStream to lastStream after SIGTERM.
	streams     = 12
	firstStream = 300 * time.Millisecond
	lastStream  = 900 * time.Millisecond
	// clientLeft is how long clients wait.
	clientLeft = 20 * time.Second
)

// playStopping checks that an entry host that gets SIGTERM answers the requests that it still takes completely, if their
// endpoints end before the last sixth of the grace period.
func playStopping(d *deployment, trouble bool) error {
	engine, err := newEndpoint("engine1", "engine", "zone-0", "127.0.7.102", 64, d.generateSlowly)
	if err != nil {
		return err
	}
	if err := d.configure(d.names.Config); err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	go d.announce(engine, stop)
	if err := d.awaitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	// contact-ms passes without any disruption before the planned work.
	time.Sleep(3 * time.Second)
	target := d.entries()[0]
	stopped := time.Now()
	if trouble {
		d.signal(target, syscall.SIGTERM)
	}
	var clients sync.WaitGroup
	whole := 0
	var mu sync.Mutex
	for i := range streams {
		at := firstStream + time.Duration(i)*(lastStream-firstStream)/(streams-1)
		clients.Go(func() {
			time.Sleep(time.Until(stopped.Add(at)))
			events := int((streamsEnd - at) / eventGap)
			h := http.Header{}
			h.Set(d.names.Pieces, "0")
			h.Set(d.names.Tokens, "500,"+strconv.Itoa(3*events))
			h.Set(d.names.Prefix, fmt.Sprintf("%08x:500", 4096+i))
			x := d.ask(target, http.MethodPost, "/draft/x", h, []byte(strconv.Itoa(events)), clientLeft)
			got := bytes.Count(x.body, []byte("\n\n"))
			d.record.note("client: request %s, sent %.3f s after SIGTERM, ended %.3f s after SIGTERM: status %d, %d of %d events, %v",
				x.id, x.sentAt.Sub(stopped).Seconds(), time.Since(stopped).Seconds(), x.status, got, events, x.err)
			mu.Lock()
			defer mu.Unlock()
			if x.status == http.StatusOK && x.err == nil && got == events {
				whole++
			}
			if x.status == http.StatusOK && (x.err != nil || got < events) {
				d.record.breach("request %s, sent %.3f s after SIGTERM and passed on to an endpoint, was cut after %d of %d events, %.3f s after SIGTERM",
					x.id, x.sentAt.Sub(stopped).Seconds(), got, events, time.Since(stopped).Seconds())
			}
		})
	}
	clients.Wait()
	d.record.note("%d of %d streams are complete", whole, streams)
	if d.record.broken() == 0 && whole == 0 {
		return fmt.Errorf("no stream was served")
	}
	return nil
}

// generateSlowly answers with a stream of as many events as the body says. It stops when its connection is closed.
func (d *deployment) generateSlowly(c *connection, r *http.Request, body []byte) error {
	id := r.Header.Get(d.names.Request)
	events, err := strconv.Atoi(string(body))
	if err != nil {
		return fmt.Errorf("read number of events: %w", err)
	}
	d.record.note("engine: request %s begins, %d events", id, events)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n%s: %s\r\n%s: stamp.%s\r\n\r\n",
		d.names.Request, id, d.names.Stamp, id)
	for i := range events {
		if c.closed(eventGap) {
			d.record.note("engine: the connection of request %s was closed after %d events", id, i)
			return fmt.Errorf("connection closed")
		}
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, id)
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
	}
	d.record.note("engine: request %s ends, all %d events sent", id, events)
	_, err = fmt.Fprint(c, "0\r\n\r\n")
	return err
}
