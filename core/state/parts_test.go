package state

import (
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/poison"
)

// TestPartsOfPromptsArePublishedUntilCleared guards against hosts that do not learn of a part's crashes, or that an answer has begun on
// it or an operator has released it, also after a restart from a snapshot.
func TestPartsOfPromptsArePublishedUntilCleared(t *testing.T) {
	for name, removal := range map[string]Command{
		"cleared":  {ClearParts: &ClearParts{Parts: []poison.Content{7}}},
		"released": {Pardon: &Pardon{Content: 7}},
	} {
		t.Run(name, func(t *testing.T) {
			m := New()
			apply := func(at core.Millis, c Command) Reply {
				c.Unix = at
				reply := m.Apply(m.Applied()+1, c)
				raw, err := m.Snapshot()
				must.NoError(t, err)
				m, err = Restore(raw)
				must.NoError(t, err)
				return reply
			}
			for i := range 2 {
				reply := apply(core.Millis(1000*(i+1)), Command{PartCrashes: &PartCrashes{
					Life: core.Life{Endpoint: "e"}, Requests: []PartCrash{{Request: poison.Content(i), Parts: []poison.Content{7}, Age: 100}},
				}})
				must.Eq(t, i+1, m.Image().Parts[7].Crashes)
				must.Eq(t, m.Image().Revision, reply.Revision)
			}
			must.Eq(t, poison.Suspected, m.Image().Parts[7].Standing)
			must.Eq(t, Accepted, apply(2100, Command{PartTrial: &PartTrial{Parts: []poison.Content{7}, Endpoint: "f"}}).Result)
			must.Eq(t, Refused, apply(2200, Command{PartTrial: &PartTrial{Parts: []poison.Content{7}, Endpoint: "g"}}).Result)
			must.Eq(t, "f", m.Image().Parts[7].Trial)
			must.Eq(t, Accepted, apply(2300, removal).Result)
			must.MapEmpty(t, m.Image().Parts)
		})
	}
}
