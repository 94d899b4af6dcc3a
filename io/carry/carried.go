package carry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"golang.org/x/sys/unix"

	"cyclamenford/core/reach"
)

// dialCarried asks carriers, the next one when one has failed or is slow, until one has connected.
func (d *Dialer) dialCarried(ctx context.Context, address string) attempt {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.mu.Lock()
	carriers := d.carriers.Order(d.clock.Now(), d.hosts.Image().Hosts, maxCarriers)
	d.mu.Unlock()
	results := make(chan attempt, maxCarriers)
	began, ended, refusals := 0, 0, 0
	defer func() { go closeOther(results, began-ended) }()
	failed := attempt{way: reach.Carried, refused: len(carriers) == 0, err: ErrNoCarrier}
	// without holds the carriers that have tried and do not reach the endpoint.
	var without []string
	for ended < len(carriers) && refusals < maxRefusals {
		if began < len(carriers) {
			go func(carrier string) { results <- d.ask(ctx, carrier, address) }(carriers[began])
			began++
		}
		var slow <-chan time.Time
		if began < len(carriers) {
			slow = time.After(reach.CarrierHeadStart.Duration())
		}
		select {
		case a := <-results:
			ended++
			if a.err == nil {
				d.recordCarried(a, without)
				return a
			}
			if a.refused {
				refusals++
			}
			if a.refused || errors.Is(a.err, errUnreachable) {
				without = append(without, a.carrier)
			}
			failed.refused = refusals > 0 && refusals == min(ended, maxRefusals)
			failed.err = errors.Join(failed.err, a.err)
		case <-slow:
			d.recordFailure(carriers[began-1])
		}
	}
	return failed
}

// recordCarried records which carrier has connected, and that the given ones have no link to its endpoint. One without marks is asked after all
// others for a time, since no end is proven through it.
func (d *Dialer) recordCarried(a attempt, without []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if a.marked {
		d.carriers.RecordSuccess(now, a.carrier)
	} else {
		d.carriers.RecordFailure(now, a.carrier)
	}
	for _, x := range without {
		d.carriers.RecordFailure(now, x)
	}
}

func (d *Dialer) recordFailure(carrier string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.carriers.RecordFailure(d.clock.Now(), carrier)
}

var (
	// errNoWay means that neither this host nor a carrier has connected to the endpoint.
	errNoWay = errors.New("no way to the endpoint")
	// errUnreachable means that a carrier has not connected to the endpoint either, and errNotCarrying that it has not tried.
	errUnreachable = errors.New("the carrier does not reach the endpoint either")
	errNotCarrying = errors.New("the carrier takes no connection")
	// errNoMarks means that a carrier of an earlier release has not understood what it was asked.
	errNoMarks = errors.New("the carrier does not support end marks")
)

// ask asks one carrier for a connection to an endpoint.
func (d *Dialer) ask(ctx context.Context, carrier, address string) attempt {
	a := attempt{way: reach.Carried, carrier: carrier}
	a.conn, a.marked, a.err = d.openCarried(ctx, carrier, address)
	a.refused = errors.Is(a.err, unix.ECONNREFUSED)
	if a.err != nil && ctx.Err() == nil && !a.refused && !errors.Is(a.err, errUnreachable) {
		d.recordFailure(carrier)
	}
	return a
}

// openCarried opens a connection through a carrier, without marks if the carrier does not know them.
func (d *Dialer) openCarried(ctx context.Context, carrier, address string) (conn net.Conn, hasMarks bool, err error) {
	conn, err = d.request(ctx, carrier, marked, address)
	if err == nil {
		return newMarkedConn(conn), true, nil
	}
	if !errors.Is(err, errNoMarks) {
		return nil, false, err
	}
	d.meter.Count("carriers_without_marks_total", 1)
	if conn, err = d.request(ctx, carrier, raw, address); err != nil {
		return nil, false, err
	}
	return rawConn{conn}, false, nil
}

// request asks a carrier for a connection, and returns the one over which its bytes come in the given framing.
func (d *Dialer) request(ctx context.Context, carrier string, f framing, address string) (net.Conn, error) {
	conn, err := d.peers.OpenStream(ctx, carrier)
	if err != nil {
		return nil, fmt.Errorf("carrier %s: %w: %s", carrier, errNotCarrying, err.Error())
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	answer := make([]byte, 1)
	err = writeRequest(conn, f, address)
	if err == nil {
		_, err = io.ReadFull(conn, answer)
	}
	if err == nil {
		err = status(answer[0]).err(f)
	}
	if !stop() {
		return nil, fmt.Errorf("carrier %s: %w", carrier, errors.Join(err, ctx.Err()))
	}
	if err != nil {
		return nil, fmt.Errorf("carrier %s: %w", carrier, errors.Join(err, conn.Close()))
	}
	return conn, nil
}

// err returns why a carrier that was asked for a framing has not connected, nil if it has.
func (s status) err(f framing) error {
	switch {
	case s == connected:
		return nil
	case s == refusedByEndpoint:
		return unix.ECONNREFUSED
	case s == unreachable:
		return errUnreachable
	case s == notCarrying && f == marked:
		return errNoMarks
	}
	return errNotCarrying
}
