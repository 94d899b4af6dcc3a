package buffer

import (
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cyclamenford/core"
	"cyclamenford/core/spool"
	"cyclamenford/io/meter"
)

const (
	// reserveDivisor gives the part of the budget that is kept for the rest of events of which clients have a part.
	reserveDivisor = 16
	// logInterval is the shortest time between two lines about answers that were ended.
	logInterval = core.Second
)

// Pool holds the answers of a host that are buffered, and their common budget. Its methods may be called concurrently; those of a nil
// Pool do nothing.
type Pool struct {
	clock core.Clock
	meter *meter.Meter
	log   *slog.Logger
	// choosing is held while answers are ended for room, so that no more end than are needed. It is locked before mu, and no lock of an
	// answer is held when either is taken.
	choosing sync.Mutex

	nextID atomic.Uint64
	// tailTimeout is the constant of that name, shorter in tests.
	tailTimeout time.Duration

	mu    sync.Mutex
	spool *spool.Spool
	// answers holds those that have held bytes.
	answers map[spool.ID]*Answer
	// loggedAt is when an ended answer was last logged, and unlogged how many have ended since without a line.
	loggedAt core.Millis
	unlogged int
}

// New returns a pool with a budget in bytes, or nil if the budget is 0.
func New(budget int64, c core.Clock, m *meter.Meter, log *slog.Logger) *Pool {
	if budget <= 0 {
		return nil
	}
	return &Pool{
		clock: c, meter: m, log: log, spool: spool.New(budget - budget/reserveDivisor), answers: map[spool.ID]*Answer{},
		loggedAt: -logInterval, tailTimeout: tailTimeout,
	}
}

// Answer returns a buffer for an answer that is written to a connection, or nil if the connection is not a plain socket. A resumable
// answer may be ended for lack of room; cancel then stops its attempt at the endpoint.
func (p *Pool) Answer(c net.Conn, resumable bool, cancel func()) *Answer {
	if p == nil {
		return nil
	}
	socket, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	a := &Answer{pool: p, id: spool.ID(p.nextID.Add(1)), conn: c, raw: raw, resumable: resumable, cancel: cancel}
	a.writeOnce = a.writeDirect
	return a
}

// UpdateGauges sets the gauges of the bytes held.
func (p *Pool) UpdateGauges() {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.meter.SetGauge("buffer_bytes_held", p.spool.Held())
	p.meter.SetGauge("buffer_bytes_most", p.spool.Most())
	p.meter.SetGauge("buffer_bytes_budget", p.spool.Budget())
	p.meter.SetGauge("buffer_answers", int64(p.spool.Answers()))
}

// add asks whether an answer may hold n more bytes, and ends other answers if they must end for it.
func (p *Pool) add(a *Answer, n int64) spool.Verdict {
	p.mu.Lock()
	p.answers[a.id] = a
	if p.spool.Fits(n) {
		defer p.mu.Unlock()
		return p.spool.Add(p.clock.Now(), a.id, a.resumable, n).Verdict
	}
	p.mu.Unlock()
	p.choosing.Lock()
	defer p.choosing.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		d := p.spool.Add(p.clock.Now(), a.id, a.resumable, n)
		if d.Verdict != spool.End {
			return d.Verdict
		}
		p.endLocked(d)
		if d.Ends == a.id {
			return spool.End
		}
	}
}

// endLocked ends an answer. The caller holds both locks; mu is released meanwhile.
func (p *Pool) endLocked(d spool.Decision) {
	victim := p.answers[d.Ends]
	p.meter.Count("answers_ended_for_room_total", 1)
	now := p.clock.Now()
	if now-p.loggedAt >= logInterval {
		p.log.Warn("answer ended for lack of room", "answer_bytes", d.Held, "client_bytes_per_s", int64(d.Rate), "since_read_ms", d.SinceRead,
			"held", p.spool.Held(), "budget", p.spool.Budget(), "answers", p.spool.Answers(), "unlogged", p.unlogged)
		p.loggedAt, p.unlogged = now, 0
	} else {
		p.unlogged++
	}
	p.mu.Unlock()
	defer p.mu.Lock()
	if victim != nil {
		victim.end(ErrNoRoom)
	}
}

// force accounts for n bytes that an answer holds whatever the decision.
func (p *Pool) force(a *Answer, n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers[a.id] = a
	p.spool.Force(p.clock.Now(), a.id, a.resumable, n)
}

// release gives back bytes of an answer, of which the client has read some.
func (p *Pool) release(a *Answer, read int, released int64) {
	if read == 0 && released == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spool.Read(p.clock.Now(), a.id, int64(read))
	p.spool.Release(a.id, released)
}

// forget removes an answer that has held bytes and holds none.
func (p *Pool) forget(a *Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.answers, a.id)
}
