package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// engineSlots is the number of requests that the only engine takes at once.
	engineSlots = 4
	// longStream is the length of the streams that occupy it.
	longStream = 12 * time.Second
	// queuedRequests wait for it when their host gets SIGTERM, termAfter later.
	queuedRequests = 4
	termAfter      = 500 * time.Millisecond
	// lossSlack is how long after the last byte of a request its connection may end without an answer.
	lossSlack = 200 * time.Millisecond
)

// playQueued checks that an entry host that gets SIGTERM gives a final answer to the requests that wait for an endpoint.
func playQueued(d *deployment, trouble bool) error {
	engine, err := newEndpoint("engine1", "engine", "zone-0", "127.0.7.102", engineSlots, d.generateSlowly)
	if err != nil {
		return err
	}
	config := d.names.Config
	for _, s := range config["services"].([]any) {
		if e, ok := s.(map[string]any)["engine"].(map[string]any); ok {
			e["slots"] = engineSlots
		}
	}
	if err := d.configure(config); err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	go d.announce(engine, stop)
	if err := d.awaitReady(); err != nil {
		return err
	}
	// contact-ms passes without any disruption before the planned work.
	time.Sleep(5 * time.Second)
	var clients sync.WaitGroup
	send := func(h *host, n int, length time.Duration) exchange {
		events := int(length / eventGap)
		header := http.Header{}
		header.Set(d.names.Pieces, "0")
		header.Set(d.names.Tokens, "500,"+strconv.Itoa(3*events))
		header.Set(d.names.Prefix, fmt.Sprintf("%08x:500", 4096+n))
		return d.ask(h, http.MethodPost, "/draft/x", header, []byte(strconv.Itoa(events)), clientLeft)
	}
	target, other := d.entries()[0], d.entries()[1]
	for i := range engineSlots {
		clients.Go(func() {
			x := send(other, i, longStream)
			d.record.note("client at the other host: request %s status %d, %d bytes, %v", x.id, x.status, len(x.body), x.err)
		})
	}
	time.Sleep(time.Second)
	var mu sync.Mutex
	answered := 0
	var stopped time.Time
	for i := range queuedRequests {
		clients.Go(func() {
			x := send(target, engineSlots+i, time.Second)
			took := time.Since(x.sentAt)
			d.record.note("client: request %s, sent %.3f s before SIGTERM, ended after %.3f s: status %d, %d bytes, %v",
				x.id, stopped.Sub(x.sentAt).Seconds(), took.Seconds(), x.status, len(x.body), x.err)
			mu.Lock()
			defer mu.Unlock()
			if x.err == nil {
				answered++
				return
			}
			if took > lossSlack && took < clientLeft {
				d.record.breach("request %s had no complete answer when its connection ended, %.3f s after it was sent", x.id, took.Seconds())
			}
		})
	}
	time.Sleep(termAfter)
	stopped = time.Now()
	if trouble {
		d.signal(target, syscall.SIGTERM)
	}
	clients.Wait()
	d.record.note("%d of %d requests have an answer", answered, queuedRequests)
	if d.record.broken() == 0 && answered == 0 {
		return fmt.Errorf("no request was answered")
	}
	return nil
}
