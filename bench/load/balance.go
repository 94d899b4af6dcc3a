package load

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	checkEvery   = time.Second
	checkTimeout = 500 * time.Millisecond
)

// balancer does what the platform's balancer does: it sends nothing to hosts that do not report ready.
type balancer struct {
	hosts  []string
	mu     sync.Mutex
	down   []bool
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func watchHosts(hosts []string) *balancer {
	ctx, cancel := context.WithCancel(context.Background())
	b := &balancer{hosts: hosts, down: make([]bool, len(hosts)), cancel: cancel}
	for i := range hosts {
		b.wg.Go(func() { b.watch(ctx, i) })
	}
	return b
}

func (b *balancer) watch(ctx context.Context, i int) {
	ticker := time.NewTicker(checkEvery)
	defer ticker.Stop()
	for {
		up := ready(ctx, b.hosts[i])
		b.mu.Lock()
		b.down[i] = !up
		b.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func ready(ctx context.Context, host string) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// next returns the number of the host for the n-th request, the next one in turn that is ready if any is.
func (b *balancer) next(n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.hosts {
		if host := (n + i) % len(b.hosts); !b.down[host] {
			return host
		}
	}
	return n % len(b.hosts)
}

func (b *balancer) stop() {
	b.cancel()
	b.wg.Wait()
}
