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
	// copyShare is the share of the answers of a stage's server that come a second time.
	copyShare = 0.05
	// copiesLasts is how long clients send requests, and copiesClients how many send at once.
	copiesLasts   = 40 * time.Second
	copiesClients = 2
	stageCallTime = 200 * time.Millisecond
	stageItemTime = 17 * time.Millisecond
)

// copies is a deployment with a stage whose server sends some of its answers a second time.
type copies struct {
	*deployment
	trouble bool

	mu sync.Mutex
	// owner is the request for which a result was made, by its handle.
	owner map[string]string
	made  int
	sent  int
}

// playCopies checks that a request gets its own inputs only, while a stage's server sends some answers once more, late, where
// the answer to the next request on the connection is expected.
func playCopies(d *deployment, trouble bool) error {
	p := &copies{deployment: d, trouble: trouble, owner: map[string]string{}}
	intake, err := newEndpoint("intake1", "intake", "zone-0", "127.0.7.101", 1, p.stage)
	if err != nil {
		return err
	}
	engine, err := newEndpoint("engine1", "engine", "zone-0", "127.0.7.102", 64, p.generate)
	if err != nil {
		return err
	}
	if err := d.configure(d.names.Config); err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	for _, e := range []*endpoint{intake, engine} {
		go d.announce(e, stop)
	}
	if err := d.awaitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	var clients sync.WaitGroup
	served := make([]int, copiesClients)
	for i := range copiesClients {
		clients.Go(func() {
			for began := time.Now(); time.Since(began) < copiesLasts; time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond) {
				h := http.Header{}
				h.Set(d.names.Pieces, "1")
				h.Set(d.names.PieceKey, fmt.Sprintf("%012x", rand.Uint32()))
				h.Set(d.names.Tokens, "500,20")
				h.Set(d.names.Prefix, fmt.Sprintf("%08x:500", rand.Uint32()))
				x := d.ask(d.entries()[i%len(d.entries())], http.MethodPost, "/draft/x", h, []byte("draft"), 10*time.Second)
				d.record.note("client %d: request %s status %d, %d bytes, %v", i, x.id, x.status, len(x.body), x.err)
				if x.status == http.StatusOK && x.err == nil {
					served[i]++
				}
			}
		})
	}
	clients.Wait()
	total := 0
	for _, n := range served {
		total += n
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	d.record.note("served %d requests; %d stage calls answered, %d answers sent a second time", total, p.made, p.sent)
	if total < 20 {
		return fmt.Errorf("only %d requests were served", total)
	}
	return nil
}

// stage answers calls for pieces. Some answers come a second time when the next request arrives on the connection.
func (p *copies) stage(c *connection, r *http.Request, body []byte) error {
	if r.URL.Path != p.names.StageRunPath {
		p.record.note("intake: %s", r.URL.Path)
		if err := p.copyLast(c, r); err != nil {
			return err
		}
		return p.reply(c, r, []byte("{}"))
	}
	var call struct{ Items []map[string]any }
	if err := json.Unmarshal(body, &call); err != nil {
		return fmt.Errorf("decode call: %w", err)
	}
	var items []map[string]string
	work := stageCallTime + time.Duration(len(call.Items))*stageItemTime
	if err := p.copyLast(c, r); err != nil {
		return err
	}
	time.Sleep(work)
	p.mu.Lock()
	for _, item := range call.Items {
		p.made++
		handle := fmt.Sprintf("127.0.7.101:8080/%016x", rand.Uint64())
		p.owner[handle] = fmt.Sprint(item["id"])
		items = append(items, map[string]string{"handle": handle})
		p.record.note("intake: piece %v of request %v made as %s", item["piece"], item["id"], handle)
	}
	p.mu.Unlock()
	raw, err := json.Marshal(map[string]any{"items": items})
	if err != nil {
		return fmt.Errorf("encode results: %w", err)
	}
	return p.reply(c, r, raw)
}

// copyLast sends the answer to the request before on the connection once more, for a share of the requests.
func (p *copies) copyLast(c *connection, r *http.Request) error {
	if p.trouble && c.last != nil && rand.Float64() < copyShare {
		p.mu.Lock()
		p.sent++
		p.mu.Unlock()
		p.record.note("intake: at a request for %s, the answer before is sent once more: %s", r.URL.Path, c.last[len(c.last)-min(len(c.last), 60):])
		if _, err := c.Write(c.last); err != nil {
			return fmt.Errorf("send copy: %w", err)
		}
	}
	return nil
}

// reply sends an answer, with the identifier that the request names, if any.
func (p *copies) reply(c *connection, r *http.Request, body []byte) error {
	h := http.Header{"Content-Type": {"application/json"}}
	h.Set(p.names.Load, "1,0,1")
	if id := r.Header.Get(p.names.Request); id != "" {
		h.Set(p.names.Request, id)
	}
	c.last = response(http.StatusOK, h, body)
	if _, err := c.Write(c.last); err != nil {
		return fmt.Errorf("send answer: %w", err)
	}
	return nil
}

// generate answers requests with a stream, and checks that all inputs are those of the request.
func (p *copies) generate(c *connection, r *http.Request, _ []byte) error {
	id := r.Header.Get(p.names.Request)
	inputs := r.Header.Get(p.names.Inputs)
	p.mu.Lock()
	for _, handle := range strings.Split(inputs, ",") {
		switch owner, known := p.owner[handle]; {
		case !known:
			p.record.breach("request %s is given the unknown input %q", id, handle)
		case owner != id:
			p.record.breach("request %s is given input %s, which was made for request %s", id, handle, owner)
		}
	}
	p.mu.Unlock()
	p.record.note("engine: request %s runs with inputs %s", id, inputs)
	h := http.Header{"Content-Type": {"text/event-stream"}}
	h.Set(p.names.Request, id)
	h.Set(p.names.Stamp, "stamp."+id)
	if _, err := c.Write(response(http.StatusOK, h, []byte("id: 1\ndata: "+id+"\n\n"))); err != nil {
		return fmt.Errorf("send answer: %w", err)
	}
	return nil
}
