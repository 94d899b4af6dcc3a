package event

import "fmt"

// Order checks the ids of the events that one attempt brings. The first one continues the stream or repeats a part of it, and each
// other one follows the one before by one.
type Order struct {
	// received is the id of the last event that the client has, and previous that of the attempt; None before the first.
	received, previous int64
}

// NewOrder returns the order of an attempt at a stream whose client has all events up to received, None for a new stream.
func NewOrder(received int64) Order {
	return Order{received: max(None, received), previous: None}
}

// Next checks the id of the next event and returns the order after it. It reports whether the client lacks the event. An id that
// cannot follow gives an error that wraps ErrOrder.
func (o Order) Next(id int64) (next Order, isNew bool, err error) {
	switch {
	case o.previous != None && id != o.previous+1:
		return o, false, fmt.Errorf("%w: %d after %d", ErrOrder, id, o.previous)
	// The first event of a stream has the id 0 or 1.
	case id > max(1, o.received+1):
		return o, false, fmt.Errorf("%w: %d first, the client has %d", ErrOrder, id, o.received)
	}
	return Order{received: max(o.received, id), previous: id}, id > o.received, nil
}

// Received returns the id of the last event that the client has after the events of the attempt, None if it has none.
func (o Order) Received() int64 { return o.received }

// IsBehind reports whether the last event of the attempt is one that the client has had before a later one, so that the attempt can't be
// whole.
func (o Order) IsBehind() bool { return o.previous != None && o.previous < o.received }
