package conf

import "cyclamenford/core"

// Class says what may be repeated of a route's requests.
type Class string

// The classes of a route.
const (
	// Repeatable requests may run more than once.
	Repeatable Class = "Repeatable"
	// Once requests run at most once for each attempt of a client.
	Once Class = "Once"
	// Stream requests are answered by numbered events and run at most once, unless the route is resumable.
	Stream Class = "Stream"
)

// Config is one version of everything that the operator sets; it is never changed in place.
type Config struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Limits        Limits
	Organisations []Organisation
}

// Route sends the requests for a host name and a path prefix to services.
type Route struct {
	Name string
	// Host is compared without regard to case; Prefix begins and ends with a slash.
	Host   string
	Prefix string
	Class  Class
	// Resumable allows a broken stream to go on at another endpoint.
	Resumable bool
	// Timeout is the longest that the operator wants a client to wait.
	Timeout core.Millis
	// Aim is the time within which an answer, or a stream's first event, earns its full worth.
	Aim core.Millis
	// GapAim is the longest pause between two events of a stream that is still on time.
	GapAim core.Millis
	// Priority is the rank of the route, 0 first.
	Priority int
	Split    []Share
	// MaxAttempts is the number of endpoints that one client attempt may be sent to.
	MaxAttempts int
	Stages      []Stage
	// Open routes need no key.
	Open bool
}

// Share is a part of a route's traffic.
type Share struct {
	Service string
	Weight  int
}

// Stage is work that must be done before a request can run.
type Stage struct {
	Service string
	// After lists the stages, by position, whose results this one needs.
	After []int
	// Bytes is the approximate size of one result.
	Bytes int64
}

// Service is a group of endpoints that do the same work.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is how many connections one endpoint accepts from all hosts together.
	MaxConnections int
	// Engine is set for services that generate tokens, and Pieces for services that prepare inputs.
	Engine *Engine
	Pieces *Pieces
}

// Plain reports whether the service's requests need neither a batch nor a shared cache, so that any endpoint serves them alike.
func (s Service) Plain() bool { return s.Engine == nil && s.Pieces == nil }

// Engine describes one endpoint of a generating service.
type Engine struct {
	Slots int
	// CacheTokens is the memory that running requests and cached prompt parts share.
	CacheTokens int
}

// Pieces describes one endpoint of a service that prepares inputs.
type Pieces struct {
	// Slots is the number of calls in progress, Queue that of calls that may wait, Batch that of pieces in a call.
	Slots, Queue, Batch int
	// CallTime and ItemTime are the approximate milliseconds of a call and of each piece in it.
	CallTime, ItemTime float64
	// Room is the bytes that results may take up.
	Room int64
	// Keep is how long a result is held after its call.
	Keep core.Millis
	// LinkMbps is the bandwidth at which results are fetched, in megabits a second; 0 if it is not known.
	LinkMbps float64
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  core.Millis
	IdleTimeout    core.Millis
}

// Organisation is a customer with its keys.
type Organisation struct {
	Name core.OrganisationID
	Keys []string
	// Priority goes before the route's, where it is set.
	Priority *int
}
