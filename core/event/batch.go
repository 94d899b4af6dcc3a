package event

import "bytes"

// Batch holds the whole events at the beginning of what an attempt has brought.
type Batch struct {
	// New holds the events that the client lacks, one after another, and Rest the bytes after the last whole event. Both are parts of
	// the parsed bytes.
	New, Rest []byte
	// Events is the number of whole events, those that the client has included, and Added the number of new ones.
	Events, Added int
	// Order is the order of the attempt after the last whole event.
	Order Order
}

// Parse parses the whole events at the beginning of raw, which continue an order. At bytes that are not the next event it returns the
// events before them and an error that wraps ErrNoEvent or ErrOrder.
func (o Order) Parse(g Grammar, raw []byte) (Batch, error) {
	b := Batch{Order: o, Rest: raw}
	first, end := 0, 0
	for {
		id, size, err := g.parseFirst(b.Rest)
		if err != nil || size == 0 {
			return b, err
		}
		next, isNew, err := b.Order.Next(id)
		if err != nil {
			return b, err
		}
		end += size
		if isNew {
			b.Added++
		} else {
			// Only the first events of an attempt can be known to the client.
			first = end
		}
		b.Events++
		b.Order, b.New, b.Rest = next, raw[first:end], raw[end:]
	}
}

// MayEnd reports whether an event may end in the bytes of raw from the given place on.
func MayEnd(raw []byte, from int) bool {
	added := raw[max(0, from-2):]
	return bytes.Contains(added, []byte("\n\n")) || bytes.Contains(added, []byte("\n\r\n"))
}
