package buffer

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"cyclamenford/io/meter"
	"cyclamenford/io/wall"
)

// socketBytes is large enough that the window of a connection stays open, and small enough that much is held.
const socketBytes = 32 << 10

// link is a connection between a host and a client with small socket buffers.
type link struct{ host, client *net.TCPConn }

func newLink(t *testing.T) link {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	dialed, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	accepted, err := l.Accept()
	must.NoError(t, err)
	x := link{host: accepted.(*net.TCPConn), client: dialed.(*net.TCPConn)}
	must.NoError(t, x.host.SetWriteBuffer(socketBytes))
	must.NoError(t, x.client.SetReadBuffer(socketBytes))
	t.Cleanup(func() { _, _ = x.host.Close(), x.client.Close() })
	return x
}

func newPool(budget int64) *Pool {
	return New(budget, wall.New(), meter.New(), slog.New(slog.DiscardHandler))
}

// eventOf returns an event of which a part can be told from the whole.
func eventOf(i, size int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("x", size))
}

// writeEvents writes events until one is not taken, as the relay does, and returns the number of those that were.
func writeEvents(a *Answer, from, count, size int) (int, error) {
	for i := range count {
		if _, err := a.Write([]byte(eventOf(from+i, size))); err != nil {
			return i, err
		}
		a.Mark()
		if err := a.Err(); err != nil {
			return i, err
		}
	}
	return count, nil
}

// mostHeld returns what the pool holds and the most that it held.
func mostHeld(p *Pool) (held, most int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.spool.Held(), p.spool.Most()
}

// isWhole reports whether a stream ends behind a whole event.
func isWhole(raw []byte) bool { return len(raw) == 0 || strings.HasSuffix(string(raw), "x\n\n") }

// TestSlowClientsShareABudget guards against memory that grows with the number of slow clients, quick clients that wait for slow ones, and
// streams that end within an event.
func TestSlowClientsShareABudget(t *testing.T) {
	const (
		slow, quick, events, size, budget = 500, 20, 300, 1000, 4 << 20
	)
	p := newPool(budget)
	var wg, quickClients sync.WaitGroup
	quickClients.Add(quick)
	var mu sync.Mutex
	complete, ended, late := 0, 0, time.Duration(0)
	for i := range slow + quick {
		x, isSlow := newLink(t), i < slow
		a := p.Answer(x.host, true, func() {})
		wg.Go(func() {
			defer func() { _ = x.host.Close() }()
			for n := range events {
				began := time.Now()
				if _, err := writeEvents(a, n, 1, size); err != nil {
					break
				}
				mu.Lock()
				late = max(late, time.Since(began))
				mu.Unlock()
				if !isSlow {
					time.Sleep(time.Millisecond)
				}
			}
			_ = a.Drain(context.Background(), context.Background())
			a.Close()
		})
		wg.Go(func() {
			if isSlow {
				// No quick client depends on what these read.
				quickClients.Wait()
			} else {
				defer quickClients.Done()
			}
			var raw []byte
			part := make([]byte, 2000)
			for {
				n, err := x.client.Read(part)
				raw = append(raw, part[:n]...)
				if err != nil {
					break
				}
				if isSlow {
					time.Sleep(time.Duration(10+i%40) * time.Millisecond)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			test.True(t, isWhole(raw), test.Sprintf("client %d: %d bytes", i, len(raw)))
			if strings.Count(string(raw), "\n\n") == events {
				complete++
				return
			}
			ended++
			test.True(t, isSlow, test.Sprintf("quick client %d", i))
		})
	}
	wg.Wait()
	held, most := mostHeld(p)
	t.Logf("complete %d, ended %d, most held %d, longest write %v", complete, ended, most, late)
	must.Eq(t, 0, held)
	must.LessEq(t, budget, most)
	must.Positive(t, ended)
	must.GreaterEq(t, quick, complete)
	must.MapEmpty(t, p.answers)
}

// TestAClientThatReadsNothingIsEnded guards against a client that stops reading altogether, and against a stream that ends within an event.
func TestAClientThatReadsNothingIsEnded(t *testing.T) {
	for _, size := range []int{100, 5000, 40_000} {
		x, p := newLink(t), newPool(128<<10)
		canceled := make(chan struct{})
		a := p.Answer(x.host, true, sync.OnceFunc(func() { close(canceled) }))
		_, err := writeEvents(a, 0, 100_000, size)
		must.ErrorIs(t, err, ErrNoRoom)
		<-canceled
		go func() {
			must.ErrorIs(t, a.Drain(context.Background(), context.Background()), ErrNoRoom)
			a.Close()
			_ = x.host.Close()
		}()
		raw, err := io.ReadAll(x.client)
		must.NoError(t, err)
		must.True(t, isWhole(raw), must.Sprintf("size %d: %d bytes, ends %q", size, len(raw), raw[len(raw)-20:]))
		held, _ := mostHeld(p)
		must.Eq(t, 0, held)
	}
}

// TestAClientThatNeverReadsAgainHoldsNothing guards against bytes that stay held for the rest of an event.
func TestAClientThatNeverReadsAgainHoldsNothing(t *testing.T) {
	x, p := newLink(t), newPool(128<<10)
	p.tailTimeout = 100 * time.Millisecond
	a := p.Answer(x.host, true, func() {})
	_, err := writeEvents(a, 0, 100_000, 5000)
	must.ErrorIs(t, err, ErrNoRoom)
	must.ErrorIs(t, a.Drain(context.Background(), context.Background()), ErrNoRoom)
	held, _ := mostHeld(p)
	must.Eq(t, 0, held)
}

// TestAnAnswerThatCannotBeResumedWaits guards against a cut answer of which no part can be asked for again.
func TestAnAnswerThatCannotBeResumedWaits(t *testing.T) {
	const events = 2000
	x, p := newLink(t), newPool(64<<10)
	a := p.Answer(x.host, false, func() {})
	go func() {
		n, err := writeEvents(a, 0, events, 1000)
		test.NoError(t, err)
		test.Eq(t, events, n)
		test.NoError(t, a.Drain(context.Background(), context.Background()))
		a.Close()
		_ = x.host.Close()
	}()
	time.Sleep(50 * time.Millisecond)
	raw, err := io.ReadAll(x.client)
	must.NoError(t, err)
	must.Eq(t, events, strings.Count(string(raw), "\n\n"))
	_, most := mostHeld(p)
	must.LessEq(t, 64<<10, most)
}

// TestHeldBytesEndWithTheirClientOrHost guards against bytes that stay held after the client has left or the host's work has ended.
func TestHeldBytesEndWithTheirClientOrHost(t *testing.T) {
	for name, want := range map[string]error{"client": context.Canceled, "host": ErrStopped, "handler": nil} {
		t.Run(name, func(t *testing.T) {
			x, p := newLink(t), newPool(4<<20)
			a := p.Answer(x.host, true, func() {})
			_, err := writeEvents(a, 0, 2000, 1000)
			must.NoError(t, err)
			must.True(t, a.Holds())
			ended, end := context.WithCancel(context.Background())
			time.AfterFunc(20*time.Millisecond, end)
			read := make(chan []byte, 1)
			if name == "host" {
				// The client reads the rest of an event.
				go func() {
					time.Sleep(50 * time.Millisecond)
					raw, _ := io.ReadAll(x.client)
					read <- raw
				}()
			}
			switch name {
			case "client":
				must.ErrorIs(t, a.Drain(ended, context.Background()), want)
			case "host":
				must.ErrorIs(t, a.Drain(context.Background(), ended), want)
			}
			a.Close()
			held, most := mostHeld(p)
			must.Eq(t, 0, held)
			must.Positive(t, most)
			must.NoError(t, x.host.Close())
			if name == "host" {
				must.True(t, isWhole(<-read))
			}
		})
	}
}

// TestAnAnswerThatIsWholeDespiteAStopIsNotCut guards against a whole answer whose end is taken from its client.
func TestAnAnswerThatIsWholeDespiteAStopIsNotCut(t *testing.T) {
	x, p := newLink(t), newPool(4<<20)
	a := p.Answer(x.host, false, func() {})
	body := strings.Repeat("x", 1<<20)
	_, err := a.Write([]byte(body))
	must.NoError(t, err)
	stopped, stop := context.WithCancel(context.Background())
	stop()
	go func() {
		test.NoError(t, a.Drain(context.Background(), stopped))
		a.Close()
		_ = x.host.Close()
	}()
	raw, err := io.ReadAll(x.client)
	must.NoError(t, err)
	must.True(t, body == string(raw), must.Sprintf("%d bytes", len(raw)))
}

// TestRequestBodiesTakeRoom guards against a budget that request bodies at slow endpoints exceed while answers could end.
func TestRequestBodiesTakeRoom(t *testing.T) {
	x, p := newLink(t), newPool(1<<20)
	a := p.Answer(x.host, true, func() {})
	_, err := writeEvents(a, 0, 500, 1000)
	must.NoError(t, err)
	f := p.Fixed()
	f.Set(900 << 10)
	must.ErrorIs(t, a.Err(), ErrNoRoom)
	f.Set(0)
	a.Close()
	held, _ := mostHeld(p)
	must.Eq(t, 0, held)
}
