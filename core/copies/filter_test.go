package copies

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
)

// TestIsCopy guards against an answer that is taken for a new one when it comes once more, and against the opposite.
func TestIsCopy(t *testing.T) {
	f, a, b := New(), core.Life{Endpoint: "a", Incarnation: 1}, core.Life{Endpoint: "a", Incarnation: 2}
	for i := range 10 * answersPerEndpoint {
		call, answer := fmt.Append(nil, "call ", i), fmt.Append(nil, "answer ", i)
		must.False(t, f.IsCopy(a, call, answer))
		must.False(t, f.IsCopy(a, call, answer), must.Sprint("the same call again"))
		must.True(t, f.IsCopy(a, []byte("another call"), answer))
		must.False(t, f.IsCopy(b, call, answer), must.Sprint("of another life"))
		if i > 0 {
			must.True(t, f.IsCopy(a, call, fmt.Append(nil, "answer ", i-1)))
		}
	}
	must.Eq(t, answersPerEndpoint, len(f.answers[a].answers))
}

// TestFilterIsBounded guards against growth with each new life of an endpoint.
func TestFilterIsBounded(t *testing.T) {
	f := New()
	for i := range 2 * maxEndpoints {
		f.IsCopy(core.Life{Endpoint: "a", Incarnation: core.Incarnation(i)}, nil, nil)
	}
	must.LessEq(t, maxEndpoints, len(f.answers))
}
