package admin

import (
	"maps"
	"net/http"
	"slices"

	"cyclamenford/core"
	"cyclamenford/core/state"
)

// Evacuation is the evacuation of a failure domain, or its end in the last minute.
type Evacuation struct {
	FailureDomain core.FailureDomain
	// Revision is the revision of the control state at which the evacuation began or ended, and AgeMs the time since then.
	Revision uint64
	AgeMs    core.Millis
	Ended    bool `json:",omitempty"`
}

// listEvacuations lists the evacuations that the host which handles the request has applied.
func (a *Admin) listEvacuations(string, *http.Request) (any, error) {
	list := []Evacuation{}
	evacuated := a.control.Image().Evacuated
	for _, d := range slices.Sorted(maps.Keys(evacuated)) {
		e := evacuated[d]
		list = append(list, Evacuation{FailureDomain: d, Revision: e.Revision, AgeMs: a.clock.Unix() - e.Unix, Ended: e.Ended})
	}
	return list, nil
}

// setEvacuation starts or ends the evacuation of a failure domain. Only the domains of hosts and of announced endpoints can be evacuated.
func (a *Admin) setEvacuation(author string, r *http.Request) (any, error) {
	domain, on := core.FailureDomain(r.PathValue("domain")), r.Method == http.MethodPut
	if err := state.CheckDomainName(domain); err != nil {
		return nil, badRequest("%w", err)
	}
	image := a.control.Image()
	if !a.knowsDomain(image, domain) {
		return nil, badRequest("no host or endpoint is in the failure domain %q", domain)
	}
	command := &state.SetEvacuation{FailureDomain: domain, On: on, Known: image.Revision}
	reply, err := a.control.Propose(r.Context(), state.Command{SetEvacuation: command})
	if err != nil {
		return nil, err
	}
	a.log.Info("evacuation", "domain", domain, "on", on, "author", author, "known_revision", image.Revision, "result", reply.Result, "revision", reply.Revision)
	return changeResponse(reply)
}

func (a *Admin) knowsDomain(image state.Image, d core.FailureDomain) bool {
	if _, ok := image.Evacuated[d]; ok {
		return true
	}
	for _, h := range image.Hosts {
		if h.FailureDomain == d {
			return true
		}
	}
	return slices.ContainsFunc(a.broker.Endpoints(), func(e core.Announcement) bool { return e.FailureDomain == d })
}
