package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// revokeLimit is the time after which no request with a key that was taken away may run.
	revokeLimit = 5 * time.Second
	// moreRoutes is the number of routes by which the configuration grows.
	moreRoutes = 8 * 350
	// cuts is the number of cuts of an entry host, cutLasts the length of each, and betweenCuts the time between two of them. The key
	// is taken away revokeAfter after the start of a cut.
	cuts        = 14
	cutLasts    = 5600 * time.Millisecond
	betweenCuts = 900 * time.Millisecond
	revokeAfter = 200 * time.Millisecond
	// revokedClients is the number of clients, each of which sends a request in requestInterval on average. The share repeating of
	// them repeats a refused request repeats times, at once.
	revokedClients  = 30
	requestInterval = 310 * time.Millisecond
	repeating       = 0.3
	repeats         = 3
)

// revoked is a deployment whose clients use a key that is taken away while one entry host is cut off.
type revoked struct {
	*deployment

	mu sync.Mutex
	// key is the key that clients use now, and ackedAt when the configuration without a key was acknowledged.
	key     string
	ackedAt map[string]time.Time
	// sent holds the key and the time of each request.
	sent     map[string]sentRequest
	statuses map[int]int
}

type sentRequest struct {
	key string
	at  time.Time
}

// playRevoked checks that no request runs whose key was taken away more than revokeLimit before it was sent, also at a host that was
// cut off meanwhile.
func playRevoked(d *deployment, trouble bool) error {
	p := &revoked{deployment: d, ackedAt: map[string]time.Time{}, sent: map[string]sentRequest{}, statuses: map[int]int{}}
	booking, err := newEndpoint("booking1", "booking", "zone-0", "127.0.7.103", 6, p.look)
	if err != nil {
		return err
	}
	config, tenant, keys, err := p.bigConfig()
	if err != nil {
		return err
	}
	tenant[d.names.KeysField], p.key = keys, keys[0]
	if err := d.configure(config); err != nil {
		return err
	}
	raw, err := json.Marshal(config)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	d.record.note("the configuration has %d bytes", len(raw))
	stop := make(chan struct{})
	go d.announce(booking, stop)
	if err := d.awaitReady(); err != nil {
		close(stop)
		return err
	}
	target := d.entries()[0]
	var clients sync.WaitGroup
	for i := range revokedClients {
		clients.Go(func() { p.keepAsking(target, float64(i) < repeating*revokedClients, stop) })
	}
	time.Sleep(3 * time.Second)
	for i := range cuts {
		if trouble {
			d.cut(target, true)
		}
		began := time.Now()
		time.Sleep(revokeAfter)
		config["version"] = i + 2
		tenant[d.names.KeysField] = keys[i+1:]
		if err = d.configure(config); err != nil {
			break
		}
		p.mu.Lock()
		p.ackedAt[keys[i]] = time.Now()
		p.mu.Unlock()
		time.Sleep(time.Until(began.Add(cutLasts)))
		if trouble {
			d.cut(target, false)
		}
		time.Sleep(betweenCuts)
		p.mu.Lock()
		p.key = keys[i+1]
		p.mu.Unlock()
	}
	close(stop)
	clients.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	d.record.note("statuses %v", p.statuses)
	if p.statuses[http.StatusOK] == 0 {
		return errors.Join(err, errors.New("no request was served"))
	}
	return err
}

// bigConfig returns the configuration with more routes, its tenant and the tenant's keys.
func (p *revoked) bigConfig() (config, tenant map[string]any, keys []string, err error) {
	raw, err := json.Marshal(p.names.Config)
	if err != nil {
		return nil, nil, nil, fmt.Errorf("encode configuration: %w", err)
	}
	if err := json.Unmarshal(raw, &config); err != nil {
		return nil, nil, nil, fmt.Errorf("copy configuration: %w", err)
	}
	routes := config["routes"].([]any)
	last := routes[len(routes)-1].(map[string]any)
	for i := range moreRoutes {
		route := maps.Clone(last)
		route["name"], route["host"] = fmt.Sprint("more", i), fmt.Sprintf("more%d.example", i)
		routes = append(routes, route)
	}
	config["routes"] = routes
	for i := range cuts + 1 {
		keys = append(keys, fmt.Sprintf("key-%d-%016x", i, rand.Uint64()))
	}
	return config, config["tenants"].([]any)[0].(map[string]any), keys, nil
}

// keepAsking sends requests on one connection until stop is closed, and opens a new one if it ends.
func (p *revoked) keepAsking(h *host, repeats bool, stop chan struct{}) {
	var conn net.Conn
	var reader *bufio.Reader
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(requestInterval))):
		}
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", h.ip+":"+p.front, time.Second); err != nil {
				p.record.note("connect: %v", err)
				conn = nil
				continue
			}
			reader = bufio.NewReader(conn)
		}
		if err := p.askRepeatedly(conn, reader, repeats); err != nil {
			p.record.note("connection ends: %v", err)
			conn.Close()
			conn = nil
		}
	}
}

// askRepeatedly sends a request on a connection, again at once after a refusal if the client is one that repeats.
func (p *revoked) askRepeatedly(conn net.Conn, reader *bufio.Reader, again bool) error {
	for range repeats + 1 {
		id := newID()
		p.mu.Lock()
		key := p.key
		p.sent[id] = sentRequest{key: key, at: time.Now()}
		p.mu.Unlock()
		header := http.Header{}
		header.Set("Authorization", "Bearer "+key)
		if err := conn.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
			return fmt.Errorf("set deadline: %w", err)
		}
		if _, err := conn.Write(p.encode(id, http.MethodGet, "/look/x", header, nil, 1500*time.Millisecond)); err != nil {
			return fmt.Errorf("send: %w", err)
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return fmt.Errorf("read answer: %w", err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return fmt.Errorf("read body: %w", err)
		}
		p.record.note("client: request %s with %s: status %d", id, key, resp.StatusCode)
		p.mu.Lock()
		p.statuses[resp.StatusCode]++
		p.mu.Unlock()
		if resp.StatusCode != http.StatusServiceUnavailable || !again {
			return nil
		}
	}
	return nil
}

// look answers a request, and checks that its key had not been taken away too long before it was sent.
func (p *revoked) look(c *connection, r *http.Request, _ []byte) error {
	id := r.Header.Get(p.names.Request)
	p.mu.Lock()
	s, known := p.sent[id]
	acked, taken := p.ackedAt[s.key]
	p.mu.Unlock()
	late := s.at.Sub(acked)
	if known && taken && late > revokeLimit {
		p.record.breach("request %s runs, sent %.3f s after the acknowledgement of the configuration that took its key %s away", id, late.Seconds(), s.key)
	}
	p.record.note("booking: request %s runs", id)
	h := http.Header{}
	h.Set(p.names.Request, id)
	h.Set(p.names.Stamp, "stamp."+id)
	if _, err := c.Write(response(http.StatusOK, h, []byte("looked up"))); err != nil {
		return fmt.Errorf("send answer: %w", err)
	}
	return nil
}
