package desk

import (
	"cyclamenford/core"
	"cyclamenford/core/notice"
	"cyclamenford/core/pool"
)

// NoticeResult is the result of applying an endpoint's notice.
type NoticeResult struct {
	// Changed reports whether the notice changed anything.
	Changed bool
	// Goodbye is the announcement to send to other hosts when the endpoint leaves, otherwise nil.
	Goodbye *core.Announcement
	Actions []pool.Action
}

// ApplyNotice applies the notice that an incarnation of an endpoint sent in an answer. An endpoint that leaves is
// removed at once. An endpoint that pauses gets no requests from this host until its pause ends. Other hosts
// aren't informed of a pause, since the endpoint may have asked only this host for it.
func (d *Scheduler) ApplyNotice(now core.Millis, l core.Life, n notice.Notice) NoticeResult {
	if !d.notices.Record(now, l, n) {
		return NoticeResult{}
	}
	announcement, ok := d.members.Get(l.Endpoint)
	if !ok || announcement.Life() != l {
		return NoticeResult{Changed: true}
	}
	if n.Leaving {
		goodbye := announcement.WithGoodbye()
		d.members.Announce(now, goodbye, 0)
		d.removeEndpoint(l.Endpoint)
		return NoticeResult{Changed: true, Goodbye: &goodbye}
	}
	return NoticeResult{Changed: true, Actions: d.applyRestriction(now, l, nil)}
}

// Usable reports whether this host may send a request to an incarnation of an endpoint now: its lease is valid, it
// isn't leaving and it isn't paused.
func (d *Scheduler) Usable(now core.Millis, l core.Life) bool {
	announcement, ok := d.Endpoint(now, l.Endpoint)
	return ok && announcement.Life() == l && !d.policy.Evacuated[announcement.FailureDomain] && d.notices.Usable(now, l)
}

// pauseDelay returns the delay that endpoint pauses add to a request. For a later stage it subtracts the expected time
// of the stages before it, which the estimate counts already.
func (d *Scheduler) pauseDelay(now core.Millis, a Attempt) core.Millis {
	longest := core.Millis(0)
	for i, k := range a.Stages {
		pause := d.poolFor(k.Pool).PauseLeft(now)
		if pause == 0 {
			continue
		}
		before := d.estimate.Remaining(a.Stages) - d.estimate.Remaining(a.Stages[i:])
		longest = max(longest, pause-before)
	}
	return longest
}
