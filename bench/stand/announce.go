package stand

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"cyclamenford/core"
)

const (
	announceEvery   = time.Second
	announceTimeout = 400 * time.Millisecond
)

// announceLoop renews the stand-in's announcement until it stops.
func (s *Server) announceLoop() {
	for {
		s.announce()
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(announceEvery):
		}
	}
}

// announce sends one announcement to the first host that takes it, beginning with the next in turn.
func (s *Server) announce() {
	a := s.announcement()
	body, err := json.Marshal(a)
	if err != nil {
		return
	}
	hosts := s.options.Announce
	for i := range hosts {
		if s.tell(hosts[(int(a.Seq)+i)%len(hosts)], body) {
			return
		}
	}
}

func (s *Server) announcement() core.Announcement {
	running, queued := s.batch.load(s.options.LagMs.Duration())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	return core.Announcement{
		ID: s.options.ID, Incarnation: s.incarnation, Seq: s.seq, Address: s.advertised,
		UptimeMs:      core.Millis(time.Since(s.began).Milliseconds()),
		FailureDomain: s.options.FailureDomain, Kind: s.options.Kind, Models: s.options.Models, Slots: s.options.Slots,
		CacheEntries:  s.options.CacheEntries,
		ChecksFencing: s.options.ChecksFencing, ChecksIssuer: s.options.ChecksIssuer,
		Load: core.Load{Running: running, Queued: queued, Seq: s.seq}, CacheEvents: s.cache.take(), Goodbye: s.left,
	}
}

func (s *Server) tell(host string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+s.options.Key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusNoContent
}
