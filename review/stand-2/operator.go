package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// answerTimeout is how long the operator waits for an answer: more than the second for a small body.
	answerTimeout = 2 * time.Second
	// maxInProgress is how many changes the operator has in progress.
	maxInProgress = 8
	firstBackoff  = 50 * time.Millisecond
	maxBackoff    = time.Second
)

// operator sends configurations to the keepers.
type operator struct {
	d       *deployment
	routes  int
	version atomic.Int64
	acked   atomic.Int64
	// chosen is the number of the keeper that is asked first: the one that has answered last.
	chosen atomic.Int64
	slots  chan struct{}
	wg     sync.WaitGroup
}

func newOperator(d *deployment, routes int) *operator {
	return &operator{d: d, routes: routes, slots: make(chan struct{}, maxInProgress)}
}

// document returns a configuration.
func (o *operator) document(version int64) []byte {
	var routes []string
	for n := range o.routes {
		timeout := "6000"
		if n == 0 {
			timeout = fmt.Sprint(6000 + version)
		}
		routes = append(routes, strings.NewReplacer("@N@", fmt.Sprint(n), "@TIMEOUT@", timeout).Replace(names.Route))
	}
	return []byte(strings.NewReplacer("@VERSION@", fmt.Sprint(version), "@ROUTES@", strings.Join(routes, ",")).Replace(names.Config))
}

// change sends the next version in the background, until it is acknowledged or ctx ends.
func (o *operator) change(ctx context.Context) {
	version := o.version.Add(1)
	o.slots <- struct{}{}
	o.wg.Go(func() {
		defer func() { <-o.slots }()
		o.send(ctx, version)
	})
}

// send sends a version to one keeper after another until it is acknowledged, and reports whether it was.
func (o *operator) send(ctx context.Context, version int64) bool {
	doc, began := o.document(version), time.Now()
	backoff := firstBackoff
	for n := o.chosen.Load(); ctx.Err() == nil; n++ {
		k := o.d.keepers[int(n)%len(o.d.keepers)]
		status, err := put(ctx, net.JoinHostPort(k.ip, strconv.Itoa(o.d.ports.control)), doc)
		if err == nil && status == http.StatusOK {
			o.acked.Add(1)
			o.chosen.Store(n)
			o.d.record("version %d of %d bytes acknowledged by %s after %d ms", version, len(doc), k.name, time.Since(began).Milliseconds())
			return true
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(maxBackoff, 2*backoff)
	}
	o.d.record("version %d not acknowledged within %d ms", version, time.Since(began).Milliseconds())
	return false
}

// put sends a configuration to a keeper and returns the status of its answer.
func put(ctx context.Context, address string, doc []byte) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+names.ConfigPath, bytes.NewReader(doc))
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
