package state

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
)

// evacuate applies an evacuation command taken at a known revision.
func evacuate(m *Machine, unix core.Millis, on bool, known uint64) Reply {
	return m.Apply(m.Applied()+1, Command{Unix: unix, SetEvacuation: &SetEvacuation{FailureDomain: "a", On: on, Known: known}})
}

// TestEvacuationsOutliveResentAndReorderedOrders guards against a delayed order that undoes a later one, and against a resent order that
// is answered for another revision than that at which it took effect.
func TestEvacuationsOutliveResentAndReorderedOrders(t *testing.T) {
	m := New()
	m.Apply(1, Command{Unix: 1, Drain: &Drain{Endpoint: "e", On: true}})
	start := m.Image().Revision
	must.Eq(t, Accepted, evacuate(m, 2, false, start).Result)
	must.Eq(t, start, m.Image().Revision, must.Sprint("a withdrawal without an order changes nothing"))
	ordered := evacuate(m, 10, true, start)
	must.Eq(t, Accepted, ordered.Result)
	must.True(t, m.Image().IsEvacuated("a"))
	m.Apply(m.Applied()+1, Command{Unix: 11, Drain: &Drain{Endpoint: "e"}})
	must.Eq(t, ordered.Revision, evacuate(m, 12, true, start).Revision, must.Sprint("a resent order"))

	// A withdrawal that was taken before the order it would undo.
	must.Eq(t, Conflict, evacuate(m, 13, false, start).Result)
	must.True(t, m.Image().IsEvacuated("a"))

	withdrawn := evacuate(m, 20, false, m.Image().Revision)
	must.Eq(t, Accepted, withdrawn.Result)
	must.False(t, m.Image().IsEvacuated("a"))
	// The order arrives once more, after its withdrawal was answered.
	must.Eq(t, Conflict, evacuate(m, 21, true, ordered.Revision).Result)
	must.False(t, m.Image().IsEvacuated("a"))
	must.Eq(t, Accepted, evacuate(m, 22, true, withdrawn.Revision).Result)
	must.True(t, m.Image().IsEvacuated("a"))
}

// TestEvacuationsSurviveSnapshotsAndConfigurations guards against an order that is lost when all keepers restart, or with a new
// configuration.
func TestEvacuationsSurviveSnapshotsAndConfigurations(t *testing.T) {
	m := New()
	evacuate(m, 10, true, 0)
	m.Apply(2, Command{Unix: 11, SetEvacuation: &SetEvacuation{FailureDomain: "b/c", On: true}})
	m.Apply(3, Command{Unix: 12, SetEvacuation: &SetEvacuation{FailureDomain: "b/c"}})
	m.Apply(4, Command{Unix: 13, ReplaceConfig: &ReplaceConfig{Version: 1, Doc: []byte("{}")}})
	raw, err := m.Snapshot()
	must.NoError(t, err)
	restored, err := Restore(raw)
	must.NoError(t, err)
	must.Eq(t, m.Image().Evacuated, restored.Image().Evacuated)
	must.Eq(t, map[core.FailureDomain]bool{"a": true}, restored.Image().EvacuatedDomains())
	must.True(t, restored.Image().Evacuated["b/c"].Ended)
}

// TestEndedEvacuationsAreKeptForAMinute guards against a leader that does not know that endpoints may have become cold, and against
// records that are kept for ever.
func TestEndedEvacuationsAreKeptForAMinute(t *testing.T) {
	m := New()
	evacuate(m, 10, true, 0)
	m.Apply(2, Command{Unix: 10 + 2*EndedEvacuationTime, PurgeExpired: &PurgeExpired{}})
	must.True(t, m.Image().IsEvacuated("a"), must.Sprint("an order in force does not expire"))
	ended := 20 + 2*EndedEvacuationTime
	evacuate(m, ended, false, 0)
	m.Apply(4, Command{Unix: ended + EndedEvacuationTime - 1, PurgeExpired: &PurgeExpired{}})
	must.MapContainsKey(t, m.Image().Evacuated, "a")
	m.Apply(5, Command{Unix: ended + EndedEvacuationTime, PurgeExpired: &PurgeExpired{}})
	must.MapEmpty(t, m.Image().Evacuated)
}

// TestInvalidDomainNamesAreRefused guards against names that the state can't hold or that a follower could not decode.
func TestInvalidDomainNamesAreRefused(t *testing.T) {
	m := New()
	for _, name := range []core.FailureDomain{"", core.FailureDomain(strings.Repeat("x", MaxDomainBytes+1)), "\xff"} {
		must.Eq(t, Invalid, m.Apply(m.Applied()+1, Command{SetEvacuation: &SetEvacuation{FailureDomain: name, On: true}}).Result)
	}
	must.MapEmpty(t, m.Image().Evacuated)
	must.NoError(t, CheckDomainName(core.FailureDomain(strings.Repeat("x", MaxDomainBytes))))
}
