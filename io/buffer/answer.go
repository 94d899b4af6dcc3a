package buffer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cyclamenford/core/spool"
)

const (
	// segmentBytes is the size of the parts in which bytes are held and accounted for, so that what is accounted for is what is
	// allocated.
	segmentBytes = 4 << 10
	// tailTimeout limits how long the rest of an event may take to get into the socket of a client whose answer was ended, which takes
	// nothing while its buffer is full.
	tailTimeout = 10 * time.Second
	// tailInterval is the time between two attempts to write that rest.
	tailInterval = 10 * time.Millisecond
	// silenceTimeout limits how long a client may read nothing once the endpoint's answer is complete.
	silenceTimeout = 30 * time.Second
)

var (
	// ErrNoRoom means that an answer was ended because the budget was used up.
	ErrNoRoom = errors.New("no room for what the client has not read")
	// ErrStopped means that an answer was ended because its host stops.
	ErrStopped = errors.New("the host stops before the client has read its answer")
	// ErrSilent means that the client has read nothing for too long.
	ErrSilent = errors.New("the client reads nothing")
)

// pastDeadline ends a write that is in progress.
var pastDeadline = time.Unix(1, 0)

// Answer writes an answer to a client's connection, and holds what the socket does not take at once. While it holds nothing, bytes are
// written directly. Write, Mark and Drain are called by one goroutine. The methods of a nil Answer do nothing.
type Answer struct {
	pool      *Pool
	id        spool.ID
	conn      net.Conn
	raw       syscall.RawConn
	resumable bool
	cancel    func()
	// direct holds the bytes and the result of a direct write, and writeOnce is writeDirect as one value, so that a write allocates nothing.
	direct struct {
		p   []byte
		n   int
		err error
	}
	writeOnce func(fd uintptr) bool

	mu sync.Mutex
	// segments hold the bytes from start in the first segment on.
	segments [][]byte
	start    int
	// sent and added count the bytes that the socket has taken and those that were written. marks holds the counts at the ends of whole
	// events that are held, and lastMark that at the last one.
	sent, added int64
	marks       []int64
	lastMark    int64
	// everHeld means that bytes were held, or were to be.
	everHeld bool
	// idle is closed when nothing is held any more, nil while nothing is held.
	idle chan struct{}
	// err is why the answer was ended. finishing means that writes are still taken up to the next mark, since the client has a part of the
	// event.
	err       error
	finishing bool
	// discarding means that writes are taken and dropped: the answer was ended here, and an error would make net/http treat the client as
	// gone. writing means that a direct write is in progress, of which sent does not tell yet.
	discarding, writing bool
	// lost means that bytes were dropped which the client does not get.
	lost bool
}

// Write writes p to the client, or holds what the socket does not take. It waits for the client only if there is no room for p. What is
// written after the answer was ended here is dropped, and Err returns why.
func (a *Answer) Write(p []byte) (int, error) {
	a.mu.Lock()
	err, direct, ended := a.err, a.idle == nil, a.err != nil && !a.finishing
	discarding := ended && a.discarding
	a.writing = direct && !ended
	a.lost = a.lost || ended
	a.mu.Unlock()
	switch {
	case discarding:
		return len(p), nil
	case ended:
		return 0, err
	}
	taken := 0
	if direct {
		if taken, err = a.writeNow(p); err != nil || taken == len(p) {
			return taken, err
		}
	}
	if err := a.hold(p[taken:]); err != nil && !a.isDiscarding() {
		return taken, err
	}
	return len(p), nil
}

// writeNow writes as much as the socket takes at once.
func (a *Answer) writeNow(p []byte) (int, error) {
	a.direct.p, a.direct.n, a.direct.err = p, 0, nil
	err := a.raw.Write(a.writeOnce)
	n := a.direct.n
	if err == nil {
		err = a.direct.err
	}
	a.direct.p = nil
	a.mu.Lock()
	a.writing = false
	a.sent, a.added = a.sent+int64(n), a.added+int64(n)
	a.mu.Unlock()
	if err != nil {
		return n, fmt.Errorf("write to client: %w", err)
	}
	return n, nil
}

// writeDirect writes the bytes of a direct write to the socket.
func (a *Answer) writeDirect(fd uintptr) bool {
	a.direct.n, a.direct.err = writeSocket(int(fd), a.direct.p)
	return true
}

// writeSocket writes to a socket until it takes no more, which is no error.
func writeSocket(fd int, p []byte) (int, error) {
	n := 0
	for n < len(p) {
		more, err := unix.Write(fd, p[n:])
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case errors.Is(err, unix.EAGAIN):
			return n, nil
		case err != nil:
			return n, os.NewSyscallError("write", err)
		}
		n += more
	}
	return n, nil
}

// hold appends p to what is held, if there is room, and otherwise waits until the client has taken it.
func (a *Answer) hold(p []byte) error {
	n := roundUp(len(p))
	a.mu.Lock()
	finishing := a.finishing
	a.everHeld = true
	a.mu.Unlock()
	verdict := spool.Hold
	if finishing {
		a.pool.force(a, n)
	} else {
		verdict = a.pool.add(a, n)
	}
	switch verdict {
	case spool.Wait:
		return a.writeWaiting(p)
	case spool.End:
		// The event goes on if the client has a part of it.
		a.mu.Lock()
		finishing, err := a.finishing, a.err
		a.mu.Unlock()
		if !finishing {
			return err
		}
		a.pool.force(a, n)
	}
	a.mu.Lock()
	if a.err != nil && !a.finishing {
		// It was ended meanwhile.
		err := a.err
		a.mu.Unlock()
		a.pool.release(a, 0, n)
		return err
	}
	unused := n - a.append(p)
	begins := a.idle == nil
	if begins {
		a.idle = make(chan struct{})
	}
	a.mu.Unlock()
	a.pool.release(a, 0, unused)
	if begins {
		go a.drain()
	}
	return nil
}

// roundUp returns the number of bytes in the segments that n bytes need.
func roundUp(n int) int64 { return int64((n + segmentBytes - 1) / segmentBytes * segmentBytes) }

// append appends p to the segments and returns the number of bytes allocated for it. The caller holds the lock.
func (a *Answer) append(p []byte) int64 {
	a.added += int64(len(p))
	allocated := int64(0)
	for len(p) > 0 {
		last := len(a.segments) - 1
		if last < 0 || len(a.segments[last]) == segmentBytes {
			a.segments = append(a.segments, make([]byte, 0, segmentBytes))
			allocated += segmentBytes
			last++
		}
		s := a.segments[last]
		n := min(len(p), segmentBytes-len(s))
		a.segments[last] = append(s, p[:n]...)
		p = p[n:]
	}
	return allocated
}

// writeWaiting waits until nothing is held, and writes p as fast as the client reads.
func (a *Answer) writeWaiting(p []byte) error {
	a.mu.Lock()
	idle := a.idle
	a.mu.Unlock()
	if idle != nil {
		<-idle
	}
	if err := a.Err(); err != nil {
		return err
	}
	n, err := a.conn.Write(p)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent, a.added = a.sent+int64(n), a.added+int64(n)
	if err != nil {
		return fmt.Errorf("write to client: %w", err)
	}
	return nil
}

// drain writes what is held as fast as the client reads, until nothing is held.
func (a *Answer) drain() {
	err := a.raw.Write(func(fd uintptr) bool {
		a.mu.Lock()
		read, released, err := a.drainNow(int(fd))
		done := err != nil || len(a.segments) == 0
		if done {
			released += a.stop(err)
		}
		a.mu.Unlock()
		a.pool.release(a, read, released)
		return done
	})
	if err != nil {
		a.mu.Lock()
		released := a.stop(err)
		a.mu.Unlock()
		a.pool.release(a, 0, released)
	}
}

// drainNow writes as much of what is held as the socket takes at once. It returns the bytes written and the bytes released. The caller
// holds the lock.
func (a *Answer) drainNow(fd int) (read int, released int64, err error) {
	for len(a.segments) > 0 {
		rest, n := a.segments[0][a.start:], 0
		n, err = writeSocket(fd, rest)
		read += n
		a.sent += int64(n)
		a.start += n
		if err != nil || n < len(rest) {
			break
		}
		if len(a.segments) == 1 && a.start == len(a.segments[0]) || a.start == segmentBytes {
			a.segments[0] = nil
			a.segments, a.start = a.segments[1:], 0
			released += segmentBytes
		}
	}
	for len(a.marks) > 0 && a.marks[0] < a.sent {
		a.marks = a.marks[1:]
	}
	return read, released, err
}

// stop ends the draining, after an error if it is not nil, and returns the number of bytes that it releases. The caller holds the lock.
func (a *Answer) stop(err error) int64 {
	released := int64(len(a.segments)) * segmentBytes
	a.segments, a.start, a.marks = nil, 0, nil
	if err != nil && a.err == nil {
		a.err = fmt.Errorf("write to client: %w", err)
	}
	if err != nil {
		a.finishing, a.lost = false, true
	}
	if a.idle != nil {
		close(a.idle)
		a.idle = nil
	}
	return released
}

// Mark records that the bytes written so far end with a whole event.
func (a *Answer) Mark() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastMark, a.finishing = a.added, false
	if len(a.segments) > 0 {
		a.marks = append(a.marks, a.added)
	}
}

// Holds reports whether bytes are held.
func (a *Answer) Holds() bool {
	if a == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.idle != nil
}

// isDiscarding reports, after a write that was not held, whether writes are dropped.
func (a *Answer) isDiscarding() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lost = true
	return a.discarding
}

// Err returns why the answer was ended, or nil.
func (a *Answer) Err() error {
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.err
}

// end ends the answer behind the first whole event that ends at or after what the client has. What is held beyond it is released.
func (a *Answer) end(why error) {
	a.mu.Lock()
	if a.err != nil {
		a.mu.Unlock()
		return
	}
	a.err, a.discarding = why, true
	released := int64(0)
	if a.lastMark >= a.sent && !a.writing {
		released = a.truncate()
	} else {
		a.finishing = true
	}
	a.mu.Unlock()
	a.pool.release(a, 0, released)
	a.cancel()
	go a.writeTail()
}

// writeTail writes the rest of an ended answer as soon as the socket has any room, and gives it up after the time limit. The drainer is
// told of room only once a third of the socket's buffer is free.
func (a *Answer) writeTail() {
	for began := time.Now(); time.Since(began) < a.pool.tailTimeout; time.Sleep(tailInterval) {
		if a.writeHeld() {
			return
		}
	}
	a.abort()
}

// writeHeld writes as much of what is held as the socket takes, also if it has little room, and reports whether nothing is held any more.
func (a *Answer) writeHeld() bool {
	a.mu.Lock()
	read, released := 0, int64(0)
	if a.idle != nil {
		// It fails on a closed connection, which ends the drainer, too.
		_ = a.raw.Control(func(fd uintptr) {
			var err error
			read, released, err = a.drainNow(int(fd))
			if err != nil || len(a.segments) == 0 {
				released += a.stop(err)
			}
		})
	}
	idle := a.idle == nil
	a.mu.Unlock()
	a.pool.release(a, read, released)
	return idle
}

// truncate drops what is held behind the first whole event that ends at or after what the client has, and returns the number of bytes
// released. The caller holds the lock.
func (a *Answer) truncate() int64 {
	end := a.sent
	for _, m := range a.marks {
		if m >= a.sent {
			end = m
			break
		}
	}
	keep := int(end-a.sent) + a.start
	count := (keep + segmentBytes - 1) / segmentBytes
	if end == a.sent {
		count = 0
	}
	released := int64(len(a.segments)-count) * segmentBytes
	clear(a.segments[count:])
	a.segments = a.segments[:count]
	if count > 0 {
		last := a.segments[count-1]
		a.segments[count-1] = last[:keep-(count-1)*segmentBytes]
	}
	a.lost = a.lost || end < a.added
	a.added, a.marks = end, nil
	if count == 0 {
		a.stop(nil)
	}
	return released
}

// abort gives up what is still held.
func (a *Answer) abort() {
	a.mu.Lock()
	held := a.idle != nil
	a.mu.Unlock()
	if held {
		// The drainer ends with an error. It fails only on a closed connection, whose writes have ended.
		_ = a.conn.SetWriteDeadline(pastDeadline)
	}
}

// Drain waits until the client has what is held. It returns an error if the answer was ended, if ctx, the client's connection, has ended,
// or if the client reads nothing. After stop has ended, the answer ends behind a whole event.
func (a *Answer) Drain(ctx, stop context.Context) error {
	if a == nil {
		return nil
	}
	stopped, sent := stop.Done(), int64(-1)
	silence := time.NewTicker(silenceTimeout)
	defer silence.Stop()
	for {
		a.mu.Lock()
		idle, err := a.idle, a.err
		if a.discarding && !a.lost {
			// It was to end, but everything has reached the client.
			err = nil
		}
		a.mu.Unlock()
		if idle == nil {
			return err
		}
		select {
		case <-idle:
		case <-ctx.Done():
			a.fail(ctx.Err())
			<-idle
		case <-stopped:
			stopped = nil
			a.end(ErrStopped)
		case <-silence.C:
			// The client may have read less than the room of which the drainer is told.
			if a.writeHeld() {
				continue
			}
			a.mu.Lock()
			now := a.sent
			a.mu.Unlock()
			if now == sent {
				a.fail(ErrSilent)
				<-idle
			}
			sent = now
		}
	}
}

// Close ends the buffering. What is still held is given up.
func (a *Answer) Close() {
	if a == nil {
		return
	}
	a.mu.Lock()
	everHeld, idle := a.everHeld, a.idle
	a.mu.Unlock()
	if idle != nil {
		a.fail(net.ErrClosed)
		<-idle
	}
	if everHeld {
		a.pool.forget(a)
	}
}

// fail ends the answer at once.
func (a *Answer) fail(err error) {
	a.mu.Lock()
	if a.err == nil {
		a.err = err
	}
	a.mu.Unlock()
	a.abort()
}
