package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, one line for each, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	// breaches are the observations that break the rule.
	breaches []string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &record{file: f, began: time.Now()}, nil
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.note("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaches = append(r.breaches, text)
}

func (r *record) broken() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.breaches)
}
