package poison

import (
	"cmp"
	"maps"
	"slices"

	"cyclamenford/core"
)

const (
	// cutTTL is how long a cut may wait for evidence. An endpoint that crashed restarts within seconds and then
	// announces itself.
	cutTTL = 15 * core.Second
	// maxPendingSuspects limits the requests whose cuts wait for evidence.
	maxPendingSuspects = 4096
	// evictionDivisor sets the part of the limit that is freed at once, one in evictionDivisor, so that not every new
	// cut has to sort them all.
	evictionDivisor = 8
)

// Suspect is a request that lost its connection to an endpoint during an attempt.
type Suspect struct {
	Request      core.RequestID
	Organisation core.OrganisationID
	Content      Content
	// Alone means that the request was in a trial at the endpoint.
	Alone bool
	// Parts identify the parts of the request's prompt that other requests share.
	Parts []Content
	// Began means that a part of the answer's body had arrived before the connection broke.
	Began bool
	// Age is how long before the cut the request was sent to the endpoint.
	Age core.Millis
}

// Identity returns what the quarantine knows the request by.
func (s Suspect) Identity() Identity { return Identity{Content: s.Content, Parts: s.Parts} }

// Cut groups the requests that lost their connection to the same incarnation of an endpoint.
type Cut struct {
	Life     core.Life
	Address  string
	At       core.Millis
	Suspects []Suspect
}

// Cuts holds the cuts for which no host could determine whether the endpoint crashed. They wait until an announcement
// settles the question.
type Cuts struct {
	// announceEvery is the announcement period of endpoints. An announcement that arrives within this time after a cut
	// may have been sent before it.
	announceEvery core.Millis
	pending       map[core.Life]Cut
	suspects      int
}

// NewCuts returns an empty set of cuts for endpoints that announce themselves at the given period.
func NewCuts(announceEvery core.Millis) *Cuts {
	return &Cuts{announceEvery: announceEvery, pending: map[core.Life]Cut{}}
}

// Add stores a cut and merges it with an earlier one of the same incarnation. It evicts the oldest cuts when too many
// requests wait.
func (c *Cuts) Add(cut Cut) {
	if existing, ok := c.pending[cut.Life]; ok {
		cut.Suspects = append(slices.Clone(existing.Suspects), cut.Suspects...)
		c.remove(existing.Life)
	}
	if c.suspects+len(cut.Suspects) > maxPendingSuspects {
		c.evict(maxPendingSuspects - maxPendingSuspects/evictionDivisor)
	}
	c.pending[cut.Life] = cut
	c.suspects += len(cut.Suspects)
}

// Settle evaluates an announcement of an incarnation at an address and removes the cuts that it settles. It returns as
// ended the cuts of incarnations that the announced one has replaced, and as alive those of the announced incarnation
// itself, provided that the announcement must have been sent after the cut.
func (c *Cuts) Settle(now core.Millis, life core.Life, address string) (ended, alive []Cut) {
	ended = c.takeMatching(func(x Cut) bool {
		return x.Life.Endpoint == life.Endpoint && x.Life.Incarnation < life.Incarnation ||
			x.Life.Endpoint != life.Endpoint && x.Address == address
	})
	alive = c.takeMatching(func(x Cut) bool { return x.Life == life && now-x.At > c.announceEvery })
	return ended, alive
}

// TakeExpired removes and returns the cuts that no announcement settled in time.
func (c *Cuts) TakeExpired(now core.Millis) []Cut {
	return c.takeMatching(func(x Cut) bool { return now-x.At > cutTTL })
}

// takeMatching removes and returns the matching cuts, sorted by incarnation.
func (c *Cuts) takeMatching(match func(Cut) bool) []Cut {
	var taken []Cut
	for _, x := range c.pending {
		if match(x) {
			taken = append(taken, x)
		}
	}
	for _, x := range taken {
		c.remove(x.Life)
	}
	slices.SortFunc(taken, func(a, b Cut) int {
		return cmp.Or(cmp.Compare(a.Life.Endpoint, b.Life.Endpoint), cmp.Compare(a.Life.Incarnation, b.Life.Incarnation))
	})
	return taken
}

// evict removes the oldest cuts until at most limit requests wait.
func (c *Cuts) evict(limit int) {
	byAge := slices.SortedFunc(maps.Values(c.pending), func(a, b Cut) int { return cmp.Compare(a.At, b.At) })
	for _, x := range byAge {
		if c.suspects <= limit {
			return
		}
		c.remove(x.Life)
	}
}

func (c *Cuts) remove(l core.Life) {
	c.suspects -= len(c.pending[l].Suspects)
	delete(c.pending, l)
}
