package stand

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// weightChunk is how much the store sends before it looks at its rate again.
const weightChunk = 64 << 10

// WeightStore serves model weights at a bounded rate, shared by all readers.
type WeightStore struct {
	rate     int64
	mu       sync.Mutex
	next     time.Time
	listener net.Listener
	http     *http.Server
}

// NewWeightStore returns a store that sends at most rate bytes a second.
func NewWeightStore(rate int64) *WeightStore {
	return &WeightStore{rate: rate}
}

// Start listens on the address.
func (s *WeightStore) Start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen as weight store: %w", err)
	}
	s.listener = l
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{name}", s.serve)
	s.http = &http.Server{Handler: mux}
	go func() { _ = s.http.Serve(l) }()
	return nil
}

// Address returns where the store listens.
func (s *WeightStore) Address() string {
	return s.listener.Addr().String()
}

// Stop closes the store.
func (s *WeightStore) Stop() {
	_ = s.http.Close()
}

func (s *WeightStore) serve(w http.ResponseWriter, r *http.Request) {
	left, err := strconv.ParseInt(r.URL.Query().Get("Bytes"), 10, 64)
	if err != nil || left < 0 {
		http.Error(w, "Bytes: expected a whole number", http.StatusBadRequest)
		return
	}
	chunk := make([]byte, weightChunk)
	for left > 0 {
		n := min(left, int64(len(chunk)))
		if !sleep(r.Context(), s.reserve(n), false) {
			return
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		left -= n
	}
}

// reserve books n bytes and returns the milliseconds to wait for them.
func (s *WeightStore) reserve(n int64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.next.Before(now) {
		s.next = now
	}
	s.next = s.next.Add(time.Duration(float64(n) / float64(s.rate) * float64(time.Second)))
	return float64(s.next.Sub(now)) / float64(time.Millisecond)
}

func fetchWeights(ctx context.Context, store, name string, bytes int64) error {
	url := fmt.Sprintf("http://%s/weights/%s?Bytes=%d", store, name, bytes)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("make weight request: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("fetch weights: %w", err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return fmt.Errorf("read weights: %w", err)
	}
	return nil
}
