package share

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/desk"
	"cyclamenford/core/member"
	"cyclamenford/io"
	"cyclamenford/io/broker"
	"cyclamenford/io/dial"
	"cyclamenford/io/loop"
	"cyclamenford/io/meter"
	"cyclamenford/io/peer"
)

// Service is the name of the RPC service that receives other hosts' messages.
const Service = "Share"

const (
	broadcastInterval = 200 * time.Millisecond
	broadcastTimeout  = 400 * time.Millisecond
)

// AgedAnnouncement is an announcement with the time since it was received from its endpoint.
type AgedAnnouncement struct {
	Announcement core.Announcement
	AgeMs        core.Millis
}

// Message is one periodic message of a host to another: its demand and usage, and the announcements received since the
// last one.
type Message struct {
	Work          desk.HostReport
	Announcements []AgedAnnouncement
}

// received is an announcement with the time of its receipt.
type received struct {
	announcement core.Announcement
	receivedAt   core.Millis
}

// Sharer periodically sends this host's new announcements, demand and usage to the other hosts and applies theirs.
type Sharer struct {
	*loop.Loop
	self    core.HostID
	control io.Control
	broker  *broker.Broker
	client  *peer.Client
	clock   core.Clock
	meter   *meter.Meter
	log     *slog.Logger

	mu      sync.Mutex
	pending map[core.EndpointID]received
}

// New returns a sharer for a host.
func New(self core.HostID, control io.Control, b *broker.Broker, client *peer.Client, clock core.Clock, m *meter.Meter, log *slog.Logger) *Sharer {
	s := &Sharer{
		self: self, control: control, broker: b, client: client, clock: clock, meter: m, log: log,
		pending: map[core.EndpointID]received{},
	}
	s.Loop = loop.New(broadcastInterval, s.broadcast)
	return s
}

// Register registers the RPC service that receives other hosts' messages.
func (s *Sharer) Register(server *peer.Server) error {
	return server.Register(Service, &calls{s})
}

type calls struct{ s *Sharer }

// Take applies another host's message.
func (c *calls) Take(m Message, _ *struct{}) error {
	c.s.broker.ApplyReport(m.Work)
	for _, a := range m.Announcements {
		c.s.broker.Announce(a.Announcement, a.AgeMs)
	}
	return nil
}

// Announce applies an announcement received directly from its endpoint. Unless it is ignored, the next message to the
// other hosts contains it.
func (s *Sharer) Announce(a core.Announcement) member.Change {
	change := s.broker.Announce(a, 0)
	if change == member.Ignored {
		return change
	}
	s.mu.Lock()
	s.pending[a.ID] = received{announcement: a, receivedAt: s.clock.Now()}
	s.mu.Unlock()
	return change
}

// ApplyState applies what a response reports about its endpoint. If the endpoint leaves, the next message to the other hosts
// contains its goodbye.
func (s *Sharer) ApplyState(l core.Life, reported dial.EndpointState) {
	if reported.HeaderError != nil {
		s.log.Warn("answer's header ignored", "endpoint", l.Endpoint, "err", reported.HeaderError)
	}
	s.broker.RecordLimit(l, reported.Limit, reported.SentAge)
	if reported.Notice.Empty() {
		return
	}
	if goodbye := s.broker.ApplyNotice(l, reported.Notice); goodbye != nil {
		s.mu.Lock()
		s.pending[l.Endpoint] = received{announcement: *goodbye, receivedAt: s.clock.Now()}
		s.mu.Unlock()
	}
}

// broadcast sends a message to every other host and updates the gauges of bytes sent and received.
func (s *Sharer) broadcast(ctx context.Context) {
	sent, received := s.client.TransferredBytes()
	s.meter.SetGauge("peer_sent_bytes", sent)
	s.meter.SetGauge("peer_received_bytes", received)
	m := Message{Work: s.broker.NextReport(), Announcements: s.takePending()}
	for _, address := range s.peerAddresses() {
		s.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, broadcastTimeout)
			defer cancel()
			if err := s.client.Call(callCtx, address, Service+".Take", m, &struct{}{}); err != nil {
				s.log.Debug("message to host not delivered", "address", address, "err", err)
			}
		})
	}
}

// takePending removes and returns the announcements received since the last message.
func (s *Sharer) takePending() []AgedAnnouncement {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	list := make([]AgedAnnouncement, 0, len(s.pending))
	for _, id := range slices.Sorted(maps.Keys(s.pending)) {
		h := s.pending[id]
		list = append(list, AgedAnnouncement{Announcement: h.announcement, AgeMs: now - h.receivedAt})
	}
	clear(s.pending)
	return list
}

// peerAddresses returns the peer addresses of all other hosts.
func (s *Sharer) peerAddresses() []string {
	var addresses []string
	hosts := s.control.Image().Hosts
	for _, id := range slices.Sorted(maps.Keys(hosts)) {
		if id != s.self {
			addresses = append(addresses, hosts[id].PeerAddress)
		}
	}
	return addresses
}
