package assign

import (
	"cyclamenford/core"
	"cyclamenford/core/conf"
	"cyclamenford/core/roll"
)

// maxRollWait bounds how long a call for news of the roll is held; a host notices a lost leader by other calls.
const maxRollWait = core.Second

// publisher keeps the roll of the endpoints that entry hosts choose among by themselves; the assigner's lock guards it.
type publisher struct {
	roll *roll.Roll
	// services are those whose endpoints are published.
	services map[string]bool
	// changed is closed at the next change.
	changed chan struct{}
}

// reset begins the roll of a term.
func (p *publisher) reset(term uint64) {
	version := uint64(0)
	if p.roll != nil {
		version = p.roll.Version() + 1
	}
	p.roll, p.services = roll.New(term, version), map[string]bool{}
	p.announce()
}

func (p *publisher) announce() {
	if p.changed != nil {
		close(p.changed)
	}
	p.changed = make(chan struct{})
}

// configure publishes the known endpoints of the services whose requests need neither a batch nor a shared cache.
func (p *publisher) configure(services []conf.Service, known *roster) {
	p.services = map[string]bool{}
	for _, s := range services {
		p.services[s.Name] = s.Plain()
	}
	for _, e := range known.known {
		if p.services[e.Endpoint.Service] {
			p.put(e.Announcement)
			continue
		}
		p.remove(e.Endpoint.ID)
	}
}

func (p *publisher) put(a Announcement) {
	if !p.services[a.Endpoint.Service] {
		p.remove(a.Endpoint.ID)
		return
	}
	if p.roll.Put(roll.Listed{Endpoint: a.Endpoint, Leaving: a.Leaving}) {
		p.announce()
	}
}

func (p *publisher) remove(id core.EndpointID) {
	if p.roll.Remove(id) {
		p.announce()
	}
}

// news returns the changes since a version, or false and a channel that is closed at the next one.
func (p *publisher) news(term, version uint64) (roll.Page, bool, <-chan struct{}) {
	page := p.roll.Since(term, version)
	return page, page.Whole || page.Version != version, p.changed
}
