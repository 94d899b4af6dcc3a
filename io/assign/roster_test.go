package assign

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/strict"
	"cyclamenford/core"
	"cyclamenford/core/order"
	"cyclamenford/core/state"
)

// TestRoster applies announcements in their order of arrival and checks which are stale and which endpoints are known
// afterwards.
func TestRoster(t *testing.T) {
	raw, err := os.ReadFile("testdata/rosters.json")
	must.NoError(t, err)
	var cases []struct {
		Name    string
		Retired map[core.EndpointID]core.Incarnation
		Heard   []struct {
			ID      core.EndpointID
			Born    core.Incarnation
			Seq     uint64
			Version string
			Address string
			Leaving bool
			Stale   bool
		}
		Known []core.EndpointID
	}
	must.NoError(t, strict.Decode(raw, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			retired := map[core.EndpointID]state.Retirement{}
			for id, life := range c.Retired {
				retired[id] = state.Retirement{Incarnation: life}
			}
			r := newRoster(core.Second)
			for i, h := range c.Heard {
				a := Announcement{
					Endpoint: order.Endpoint{ID: h.ID, Incarnation: h.Born, Version: h.Version, Address: h.Address}, Seq: h.Seq, Leaving: h.Leaving,
				}
				s, _ := r.apply(core.Millis(i), a, retired)
				must.Eq(t, h.Stale, s == stale, must.Sprintf("announcement %d", i))
			}
			var known []core.EndpointID
			for _, k := range r.list(0) {
				known = append(known, k.Announcement.Endpoint.ID)
			}
			must.Eq(t, c.Known, known)
		})
	}
}

// TestAnEndpointAtATakenAddressIsReplaced checks that an endpoint is removed when a later one announces the same address.
func TestAnEndpointAtATakenAddressIsReplaced(t *testing.T) {
	r := newRoster(core.Second)
	r.apply(1, Announcement{Endpoint: order.Endpoint{ID: "old", Incarnation: 1, Address: "a"}, Seq: 1}, nil)
	_, replaced := r.apply(2, Announcement{Endpoint: order.Endpoint{ID: "new", Incarnation: 2, Address: "a"}, Seq: 1}, nil)
	must.Eq(t, []core.EndpointID{"old"}, replaced)
}
