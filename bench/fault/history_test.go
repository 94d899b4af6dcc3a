package fault

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestOnlyFaultsThatHideAnAnswerExcuseAHost guards against a soak that excuses hosts from what they have been told by later cuts.
func TestOnlyFaultsThatHideAnAnswerExcuseAHost(t *testing.T) {
	now := time.Now()
	rows := []struct {
		name        string
		after       time.Duration
		do          string
		knows, calm bool
	}{
		{"a cut long before", -time.Minute, "CutHost", true, true},
		{"a cut that may have lasted until the answer", -4 * time.Second, "CutHost", false, true},
		{"a cut at the answer", 100 * time.Millisecond, "CutHost", false, false},
		{"a cut that began later", time.Second, "CutHost", true, false},
		{"a stop long before", -time.Minute, "Restart", true, true},
		{"a restart that may have lasted until the answer", -8 * time.Second, "Restart", false, true},
		{"a stop that began later", time.Minute, "Restart", false, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			g := &Group{}
			g.history.byHost = map[string][]disturbance{"h": {{at: now.Add(row.after), do: row.do}}}
			must.Eq(t, row.knows, g.Knows("h", now))
			must.Eq(t, row.calm, g.Calm("h", now))
			must.True(t, g.Knows("another", now) && g.Calm("another", now))
		})
	}
}

// TestUnplannedFaultsDisturb guards against requests at stopping hosts that are not checked because of a fault that has ended, and
// against those that are checked during a fault that began long before.
func TestUnplannedFaultsDisturb(t *testing.T) {
	now := time.Now()
	rows := []struct {
		name        string
		steps       []disturbance
		undisturbed bool
	}{
		{"planned stops alone", []disturbance{{now.Add(-time.Second), "Restart"}, {now, "Terminate"}}, true},
		{"a cut that has just ended", []disturbance{{now.Add(-9 * time.Second), "Isolate"}, {now.Add(-2 * time.Second), "Heal"}}, false},
		{"a cut that ended long before", []disturbance{{now.Add(-9 * time.Second), "Isolate"}, {now.Add(-4 * time.Second), "Heal"}}, true},
		{"a cut that goes on", []disturbance{{now.Add(-9 * time.Second), "Isolate"}}, false},
		{"one of two faults goes on", []disturbance{
			{now.Add(-9 * time.Second), "Freeze"}, {now.Add(-8 * time.Second), "Delay"}, {now.Add(-7 * time.Second), "Heal"},
		}, false},
		{"reset connections", []disturbance{{now.Add(-2 * time.Second), "CutConnections"}}, false},
		{"connections reset long before", []disturbance{{now.Add(-4 * time.Second), "CutConnections"}}, true},
		{"a fault during the request", []disturbance{{now.Add(time.Second), "Kill"}}, false},
		{"a fault after the request", []disturbance{{now.Add(3 * time.Second), "Kill"}}, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			g := &Group{}
			g.history.byHost = map[string][]disturbance{"h": row.steps}
			must.Eq(t, row.undisturbed, g.Undisturbed("h", now, now.Add(2*time.Second)))
		})
	}
}

// TestOnlyFrozenAndCutOffHostsAreOutOfContact guards against hosts that are excused for closed connections, stops or a repair of others, and
// against those that are held responsible while a cut is in force or has just ended.
func TestOnlyFrozenAndCutOffHostsAreOutOfContact(t *testing.T) {
	now := time.Now()
	for name, row := range map[string]struct {
		steps     []disturbance
		inContact bool
	}{
		"stops and closed connections":     {[]disturbance{{now, "Restart"}, {now, "Kill"}, {now, "CutHost"}, {now, "HealAll"}}, true},
		"a cut that ended before":          {[]disturbance{{now.Add(-9 * time.Second), "Isolate"}, {now.Add(-5 * time.Second), "Heal"}}, true},
		"a cut that has just ended":        {[]disturbance{{now.Add(-9 * time.Second), "Isolate"}, {now.Add(-time.Second), "HealAll"}}, false},
		"a cut in force":                   {[]disturbance{{now.Add(-9 * time.Second), "IsolateDomain"}}, false},
		"a host that was frozen meanwhile": {[]disturbance{{now.Add(-3 * time.Second), "Freeze"}, {now.Add(-2 * time.Second), "Thaw"}}, false},
		"a cut that begins later":          {[]disturbance{{now.Add(time.Second), "Isolate"}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := &Group{}
			g.history.byHost = map[string][]disturbance{"h": row.steps}
			must.Eq(t, row.inContact, g.InContact("h", now.Add(-4*time.Second), now))
		})
	}
}
