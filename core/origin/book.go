package origin

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cyclamenford/core"
)

// Retention is how long a stream may be continued after it began. It exceeds the time for which clients try.
const Retention = 120 * core.Second

// Stream identifies a stream by its organisation and by the attempt that brings its first event. The zero value is no stream.
type Stream uint64

// NewStream returns the stream whose first event the attempt with the given ID brings.
func NewStream(o core.OrganisationID, first core.RequestID) Stream {
	return Stream(max(1, xxhash.Sum64String(string(o)+"\x00"+string(first))))
}

// Service holds the software versions of one service whose streams may still be continued.
type Service struct {
	Name string
	// Versions are the versions in the order in which they were added. Streams that began while there was only the first one have no
	// record.
	Versions []string
	// MixedSince is when the second version was added, in the time of the replicated log.
	MixedSince core.Millis `cbor:",omitempty"`
}

// Record tells at which version a stream began.
type Record struct {
	Stream  Stream
	Version string
	Unix    core.Millis
}

// Book holds the versions of all services and the streams that began while a service had several. It reads no clock: its caller
// passes the time with every change.
type Book struct {
	services map[string]Service
	streams  map[Stream]Record
	// order holds the records by age, the oldest first. One that was replaced stays until it expires.
	order []Record
}

// New returns an empty book.
func New() *Book { return &Book{services: map[string]Service{}, streams: map[Stream]Record{}} }

// Restore returns a book with the given contents.
func Restore(services []Service, records []Record) *Book {
	b := New()
	for _, s := range services {
		b.services[s.Name] = s
	}
	for _, r := range records {
		b.add(r)
	}
	return b
}

// Services returns the services by name.
func (b *Book) Services() []Service {
	return slices.SortedFunc(maps.Values(b.services), func(x, y Service) int { return cmp.Compare(x.Name, y.Name) })
}

// Records returns the records, the oldest first.
func (b *Book) Records() []Record {
	return slices.DeleteFunc(slices.Clone(b.order), func(r Record) bool { return b.streams[r.Stream] != r })
}

// AddVersion adds a version of a service. It must precede the first stream there at this version.
func (b *Book) AddVersion(unix core.Millis, service, version string) {
	s := b.services[service]
	if slices.Contains(s.Versions, version) {
		return
	}
	if len(s.Versions) == 1 {
		s.MixedSince = unix
	}
	s.Name, s.Versions = service, append(slices.Clone(s.Versions), version)
	b.services[service] = s
}

// Settle makes a version the only one of a service. No stream of another version may be left.
func (b *Book) Settle(service, version string) {
	b.services[service] = Service{Name: service, Versions: []string{version}}
}

// Begin records at which version streams begin. A stream that begins anew, since it has brought no event yet, is moved.
func (b *Book) Begin(unix core.Millis, version string, streams []Stream) {
	for _, s := range streams {
		b.add(Record{Stream: s, Version: version, Unix: unix})
	}
	b.purge(unix)
}

func (b *Book) add(r Record) {
	b.streams[r.Stream] = r
	b.order = append(b.order, r)
}

// purge removes the records that are past their retention.
func (b *Book) purge(unix core.Millis) {
	n := 0
	for ; n < len(b.order) && b.order[n].Unix+Retention < unix; n++ {
		if r := b.order[n]; b.streams[r.Stream] == r {
			delete(b.streams, r.Stream)
		}
	}
	b.order = b.order[n:]
}

// Versions returns the versions of a service. While there are several, each stream needs a record before it begins.
func (b *Book) Versions(service string) []string { return b.services[service].Versions }

// Version returns the version at which a stream of a service began, or false if that is not known.
func (b *Book) Version(unix core.Millis, service string, stream Stream) (string, bool) {
	if r, ok := b.streams[stream]; ok {
		return r.Version, true
	}
	s := b.services[service]
	switch {
	case len(s.Versions) == 1:
		return s.Versions[0], true
	case len(s.Versions) > 1 && stream != 0 && unix < s.MixedSince+Retention:
		// It has no record, so it began before there was a second version.
		return s.Versions[0], true
	}
	return "", false
}
