package copies

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"cyclamenford/core"
)

const (
	// answersPerEndpoint is the number of the latest answers of an endpoint that are known: more than it has connections in use.
	answersPerEndpoint = 64
	// maxEndpoints limits the endpoints whose answers are known.
	maxEndpoints = 8192
)

// Filter knows the latest answers of endpoints whose answers to different calls are all different. It is not safe for concurrent use.
type Filter struct {
	answers map[core.Life]*latest
}

// latest holds the latest answers of an endpoint, next being the place of the oldest one once it is full.
type latest struct {
	answers []answer
	next    int
}

// answer holds the hashes of an answer and of the call that it was given to.
type answer struct{ body, call uint64 }

// New returns a filter that knows no answer.
func New() *Filter { return &Filter{answers: map[core.Life]*latest{}} }

// IsCopy reports whether an endpoint has sent the answer to another call before, and remembers it. A call with the same content may get
// the same answer.
func (f *Filter) IsCopy(from core.Life, call, body []byte) bool {
	l := f.answers[from]
	if l == nil {
		if len(f.answers) >= maxEndpoints {
			clear(f.answers)
		}
		l = &latest{}
		f.answers[from] = l
	}
	x := answer{body: xxhash.Sum64(body), call: xxhash.Sum64(call)}
	if i := slices.IndexFunc(l.answers, func(known answer) bool { return known.body == x.body }); i >= 0 {
		return l.answers[i].call != x.call
	}
	if len(l.answers) < answersPerEndpoint {
		l.answers = append(l.answers, x)
		return false
	}
	l.answers[l.next] = x
	l.next = (l.next + 1) % answersPerEndpoint
	return false
}
