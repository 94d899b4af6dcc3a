package assign

import (
	"maps"

	"cyclamenford/core"
	"cyclamenford/core/conf"
	"cyclamenford/core/roll"
)

// maxRollWait bounds how long a call for changes of the roll waits. Hosts detect a lost leader by other calls.
const maxRollWait = core.Second

// publisher maintains the roll, the list of endpoints that entry hosts choose among by themselves. Assigner.mu guards it.
type publisher struct {
	roll *roll.Roll
	// published tells for each service whether its endpoints are published.
	published map[string]bool
	// changed is closed when the roll changes.
	changed chan struct{}
	// limited reports whether an endpoint names a limit.
	limited func(core.Life) bool
	// bounded reports whether an endpoint has a bound.
	bounded func(core.Life) bool
	// holds holds for how long endpoints were held back last, and when.
	holds      map[core.Life]heldBack
	holdNumber uint64
}

type heldBack struct {
	roll.Hold
	at core.Millis
}

// reset starts an empty roll for a term, without published services. Its version is above that of the previous roll.
func (p *publisher) reset(term uint64, limited, bounded func(core.Life) bool) {
	version := uint64(0)
	if p.roll != nil {
		version = p.roll.Version() + 1
	}
	p.limited, p.bounded = limited, bounded
	p.roll, p.published, p.holds = roll.New(term, version), map[string]bool{}, map[core.Life]heldBack{}
	p.notifyWaiters()
}

// notifyWaiters wakes the calls that wait for a change.
func (p *publisher) notifyWaiters() {
	if p.changed != nil {
		close(p.changed)
	}
	p.changed = make(chan struct{})
}

// setServices publishes the known endpoints of plain services, whose requests need neither batching nor a shared
// cache, and removes all other endpoints from the roll.
func (p *publisher) setServices(services []conf.Service, endpoints *roster) {
	p.published = map[string]bool{}
	for _, s := range services {
		p.published[s.Name] = s.Plain()
	}
	for _, e := range endpoints.entries {
		if p.published[e.Endpoint.Service] {
			p.put(e.Announcement)
			continue
		}
		p.remove(e.Endpoint.ID)
	}
}

// put publishes an announced endpoint, or removes it if its service is not published.
func (p *publisher) put(a Announcement) {
	if !p.published[a.Endpoint.Service] {
		p.remove(a.Endpoint.ID)
		return
	}
	life := core.Life{Endpoint: a.Endpoint.ID, Incarnation: a.Endpoint.Incarnation}
	l := roll.Listed{Endpoint: a.Endpoint, Leaving: a.Leaving, Limited: p.limited(life), Bounded: p.bounded(life), Hold: p.holds[life].Hold}
	if p.roll.Put(l) {
		p.notifyWaiters()
	}
}

// hold makes the next listing of an endpoint hold it back for some time.
func (p *publisher) hold(now core.Millis, l core.Life, length core.Millis) {
	maps.DeleteFunc(p.holds, func(_ core.Life, h heldBack) bool { return now-h.at > h.For })
	p.holdNumber++
	p.holds[l] = heldBack{Hold: roll.Hold{Number: p.holdNumber, For: length}, at: now}
}

// remove removes an endpoint from the roll.
func (p *publisher) remove(id core.EndpointID) {
	if p.roll.Remove(id) {
		p.notifyWaiters()
	}
}

// changesSince returns the changes since a version, whether there are any, and a channel that is closed at the next
// change.
func (p *publisher) changesSince(term, version uint64) (roll.Page, bool, <-chan struct{}) {
	page := p.roll.ChangesSince(term, version)
	return page, page.Whole || page.Version != version, p.changed
}
