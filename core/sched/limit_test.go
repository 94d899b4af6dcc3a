package sched

import (
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
	"cyclamenford/core/limit"
)

// TestLongDeadlinesOutlastTheLongestRetryTime guards against requests that are refused at once although their deadlines are beyond the
// longest time for which permits are predicted.
func TestLongDeadlinesOutlastTheLongestRetryTime(t *testing.T) {
	s := newTakenOver(t)
	s.announce(1, 1)
	s.limits.(*limit.Issuer).Record(1, core.Life{Endpoint: "e", Incarnation: 1}, limit.Named(0.1), limit.Span{SentAt: 1, HeardAt: 1})
	s.Tick(2)
	svc, r := s.services["engine"], &request{}
	for deadline, exceeds := range map[core.Millis]bool{1: true, 25_000: true, 29_999: true, 30_010: false, 60_000: false} {
		r.deadlineAt = s.now + deadline
		must.Eq(t, exceeds, s.exceedsLimit(svc, r, 5, 5), must.Sprint(deadline))
	}
}
