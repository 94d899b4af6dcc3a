package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// upgradedStreams streams of upgradedEvents events take all slots of the engines.
	upgradedStreams, upgradedEvents = upgradedEngines * upgradedSlots, 80
	upgradedEngines, upgradedSlots  = 4, 6
	// The first engine crashes crashAfter after the streams have begun, and is down for crashLasts. Its first announcement comes
	// lateBeat after its start. The entry host is killed killAfter after the crash.
	crashAfter = 1500 * time.Millisecond
	crashLasts = 2 * time.Second
	lateBeat   = 3500 * time.Millisecond
	killAfter  = 4600 * time.Millisecond
	// joinedAllowed is the number of streams that may hold events of two versions.
	joinedAllowed = 2
)

// playUpgraded checks that streams go on at the software version that began them, while an engine that has crashed starts again under
// its id and address with another version, and its first announcement comes late.
func playUpgraded(d *deployment, trouble bool) error {
	var engines []*endpoint
	for i := range upgradedEngines {
		var e *endpoint
		var err error
		e, err = newEndpoint(fmt.Sprint("engine", i), "engine", fmt.Sprint("zone-", i%3), fmt.Sprintf("127.0.7.%d", 110+i), upgradedSlots,
			func(c *connection, r *http.Request, _ []byte) error { return d.generateVersion(e, c, r) })
		if err != nil {
			return err
		}
		engines = append(engines, e)
	}
	for _, s := range d.names.Config["services"].([]any) {
		if e, ok := s.(map[string]any)["engine"].(map[string]any); ok {
			e["slots"] = upgradedSlots
		}
	}
	if err := d.configure(d.names.Config); err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	silent := make(chan struct{})
	for i, e := range engines {
		until := stop
		if i == 0 {
			until = silent
		}
		go d.announce(e, until)
	}
	if err := d.awaitReady(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	var clients sync.WaitGroup
	var mu sync.Mutex
	whole, joined := 0, 0
	for i := range upgradedStreams {
		clients.Go(func() {
			events, err := d.takeStream(i)
			versions := map[string]bool{}
			for _, event := range events {
				versions[event[strings.LastIndex(event, " ")+1:]] = true
			}
			d.record.note("client %d: %d events of versions %v, %v", i, len(events), versions, err)
			mu.Lock()
			defer mu.Unlock()
			if len(events) == upgradedEvents {
				whole++
			}
			if len(versions) > 1 {
				joined++
			}
		})
	}
	if trouble {
		time.Sleep(crashAfter)
		close(silent)
		engines[0].crash()
		d.record.note("engine 0 has crashed")
		time.Sleep(crashLasts)
		if err := engines[0].restart("v2"); err != nil {
			return err
		}
		d.record.note("engine 0 has started again with version v2")
		time.Sleep(killAfter - crashLasts)
		d.signal(d.entries()[0], syscall.SIGKILL)
		time.Sleep(lateBeat - (killAfter - crashLasts))
		go d.announce(engines[0], stop)
	}
	clients.Wait()
	d.record.note("%d of %d streams are whole, %d hold events of two versions", whole, upgradedStreams, joined)
	if joined > joinedAllowed {
		d.record.breach("%d streams hold events of two versions, %d may", joined, joinedAllowed)
	}
	if whole == 0 {
		return errors.New("no stream is whole")
	}
	return nil
}

// takeStream reads a stream from the first entry host, and goes on at the second one if it breaks off.
func (d *deployment) takeStream(n int) ([]string, error) {
	var events []string
	var first string
	var errs []error
	for attempt, h := range []*host{d.entries()[0], d.entries()[1], d.entries()[1]} {
		header := http.Header{}
		header.Set(d.names.Pieces, "0")
		header.Set(d.names.Tokens, "500,240")
		header.Set(d.names.Prefix, fmt.Sprintf("%08x:500", 4096+n))
		if len(events) > 0 {
			header.Set(d.names.LastEvent, strconv.Itoa(len(events)))
			header.Set(d.names.Resumes, first)
		}
		id := newID()
		if first == "" {
			first = id
		}
		more, err := d.readEvents(h, id, header)
		events = append(events, more...)
		d.record.note("client %d, attempt %d, request %s: %d events, %v", n, attempt, id, len(more), err)
		if err == nil {
			return events, nil
		}
		errs = append(errs, err)
		time.Sleep(10 * time.Millisecond)
	}
	return events, errors.Join(errs...)
}

// readEvents sends a request and returns the events of its answer, with an error if it breaks off or is refused.
func (d *deployment) readEvents(h *host, id string, header http.Header) ([]string, error) {
	conn, err := net.DialTimeout("tcp", h.ip+":"+d.front, time.Second)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(clientLeft)); err != nil {
		return nil, fmt.Errorf("set deadline: %w", err)
	}
	if _, err := conn.Write(d.encode(id, http.MethodPost, "/draft/x", header, []byte("draft"), clientLeft)); err != nil {
		return nil, fmt.Errorf("send: %w", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	var events []string
	var raw bytes.Buffer
	part := make([]byte, 1024)
	for {
		n, err := resp.Body.Read(part)
		raw.Write(part[:n])
		for {
			end := bytes.Index(raw.Bytes(), []byte("\n\n"))
			if end < 0 {
				break
			}
			events = append(events, string(raw.Next(end + 2)[:end]))
		}
		if err != nil {
			if err.Error() == "EOF" {
				return events, nil
			}
			return events, fmt.Errorf("read events: %w", err)
		}
	}
}

// generateVersion answers with the events after the last one that the request names; each says the version of the engine.
func (d *deployment) generateVersion(e *endpoint, c *connection, r *http.Request) error {
	id := r.Header.Get(d.names.Request)
	last := 0
	if text := r.Header.Get(d.names.LastEvent); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			return fmt.Errorf("read last event: %w", err)
		}
		last = n
	}
	version := e.currentVersion()
	d.record.note("%s, version %s: request %s runs after event %d", e.id, version, id, last)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n%s: %s\r\n%s: stamp.%s\r\n\r\n",
		d.names.Request, id, d.names.Stamp, id)
	for i := last; i < upgradedEvents; i++ {
		if c.closed(eventGap) {
			return errors.New("connection closed")
		}
		event := fmt.Sprintf("id: %d\ndata: %s %s\n\n", i+1, id, version)
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
	}
	_, err := fmt.Fprint(c, "0\r\n\r\n")
	return err
}
