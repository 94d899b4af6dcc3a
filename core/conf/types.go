package conf

import "cyclamenford/core"

// Class determines whether the requests of a route may be retried.
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

// Config is one version of the operator's configuration. It is immutable.
type Config struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Limits        Limits
	Organisations []Organisation
}

// Route forwards the requests for a host name and a path prefix to services.
type Route struct {
	Name string
	// Host is matched case-insensitively. Prefix begins and ends with a slash.
	Host   string
	Prefix string
	Class  Class
	// Resumable allows a broken stream to continue at another endpoint.
	Resumable bool
	// Timeout is the longest time that a client may have to wait for its answer.
	Timeout core.Millis
	// Aim is the latency target of a whole answer, or of a stream's first event. An answer within it has its full
	// worth.
	Aim core.Millis
	// GapAim is the longest gap between two events of a stream that still counts as on time.
	GapAim core.Millis
	// Priority is the rank of the route's requests; 0 is the highest.
	Priority int
	Split    []WeightedService
	// MaxAttempts is the number of endpoints to which one client attempt may be sent.
	MaxAttempts int
	Stages      []Stage
	// AuthExempt routes require no key.
	AuthExempt bool
}

// WeightedService is one service of a route's traffic split, with its relative weight.
type WeightedService struct {
	Service string
	Weight  int
}

// Stage prepares inputs that a request needs before it can run.
type Stage struct {
	Service string
	// After lists the positions of the stages whose results this stage needs.
	After []int
	// Bytes is the approximate size of one result.
	Bytes int64
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections limits the connections to one endpoint, summed over all hosts.
	MaxConnections int
	// ColdTime is how long an endpoint is cold after its start, and ColdPerSecond the number of requests per second that a
	// cold endpoint can bear. There is no such bound if either is 0.
	ColdTime      core.Millis
	ColdPerSecond float64
	// Engine is set for services that generate tokens, and Pieces for services that prepare inputs. Both are nil for
	// plain services.
	Engine *Engine
	Pieces *Pieces
}

// Plain reports whether the service's requests need neither batching nor a shared cache, so that any endpoint can serve
// them.
func (s Service) Plain() bool { return s.Engine == nil && s.Pieces == nil }

// Engine describes the capacity of one endpoint of a service that generates tokens.
type Engine struct {
	Slots int
	// CacheTokens is the memory, in tokens, that running requests and cached prompt parts share.
	CacheTokens int
}

// Pieces describes one endpoint of a service that prepares inputs.
type Pieces struct {
	// Slots limits the calls in progress, Queue the calls that wait, and Batch the pieces in one call.
	Slots, Queue, Batch int
	// CallTime and ItemTime are the approximate cost of a call and of each piece in it, in milliseconds.
	CallTime, ItemTime float64
	// Room is the space for results, in bytes.
	Room int64
	// Keep is how long a result is held after its call.
	Keep core.Millis
	// LinkMbps is the bandwidth for fetching results, in megabits per second; 0 if unknown.
	LinkMbps float64
}

// Limits restricts the size of requests and the time that a client's connection may be slow or idle.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  core.Millis
	IdleTimeout    core.Millis
}

// Organisation is a customer and its keys.
type Organisation struct {
	Name core.OrganisationID
	Keys []string
	// Priority overrides that of the route if it is set.
	Priority *int
}
