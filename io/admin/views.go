package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"

	"cyclamenford/core"
	"cyclamenford/core/ledger"
	"cyclamenford/core/poison"
	"cyclamenford/core/state"
	"cyclamenford/io"
)

// Host is the JSON form of a host of the deployment.
type Host struct {
	ID            core.HostID
	FailureDomain core.FailureDomain
	Incarnation   core.Incarnation
	Keeper        string `json:",omitempty"`
	Expired       bool
}

// Endpoint is the last announcement of an endpoint received by this host, and whether operators drain the endpoint.
type Endpoint struct {
	core.Announcement
	Drained bool
}

// Suspect describes request content that is suspected of crashing endpoints or convicted and in quarantine.
type Suspect struct {
	Content      string
	Organisation core.OrganisationID
	Convicted    bool
	Crashes      int
	Trial        core.EndpointID `json:",omitempty"`
	// Part means that Content identifies a part of prompts, which may be held by the requests of any organisation.
	Part bool `json:",omitempty"`
}

// Pool reports the load of a pool at the host that handles the request.
type Pool struct {
	Pool                        string
	Waiting, Running, Endpoints int
}

func (a *Admin) getStatus(_ string, r *http.Request) (any, error) {
	answer, err := a.control.Query(r.Context(), io.Query{Status: true})
	if err != nil {
		return nil, err
	}
	return answer.Status, nil
}

func (a *Admin) listHosts(string, *http.Request) (any, error) {
	list := []Host{}
	hosts := a.control.Image().Hosts
	for _, id := range slices.Sorted(maps.Keys(hosts)) {
		h := hosts[id]
		list = append(list, Host{
			ID: h.ID, FailureDomain: h.FailureDomain, Incarnation: h.Incarnation, Keeper: h.Keeper, Expired: h.Expired,
		})
	}
	return list, nil
}

func (a *Admin) listEndpoints(string, *http.Request) (any, error) {
	list := []Endpoint{}
	drained := a.control.Image().Drained
	for _, e := range a.broker.Endpoints() {
		e.CacheEvents = nil
		list = append(list, Endpoint{Announcement: e, Drained: drained[e.ID]})
	}
	return list, nil
}

func (a *Admin) listPools(string, *http.Request) (any, error) {
	list := []Pool{}
	for _, d := range a.broker.Depths() {
		list = append(list, Pool{Pool: d.Pool.String(), Waiting: d.Waiting, Running: d.Running, Endpoints: d.Endpoints})
	}
	return list, nil
}

func (a *Admin) listDecisions(_ string, r *http.Request) (any, error) {
	list := a.broker.DecisionsFor(core.RequestID(r.PathValue("request")))
	if len(list) == 0 {
		return nil, &statusError{status: http.StatusNotFound, err: errors.New("this host remembers no decision about the request")}
	}
	return list, nil
}

// setDrain starts or ends the drain of an endpoint.
func (a *Admin) setDrain(author string, r *http.Request) (any, error) {
	on := r.Method == http.MethodPut
	endpoint := core.EndpointID(r.PathValue("endpoint"))
	reply, err := a.control.Propose(r.Context(), state.Command{Drain: &state.Drain{Endpoint: endpoint, On: on}})
	if err != nil {
		return nil, err
	}
	a.log.Info("drain", "endpoint", endpoint, "on", on, "author", author)
	return changeResponse(reply)
}

func (a *Admin) listSuspects(string, *http.Request) (any, error) {
	list := []Suspect{}
	image := a.control.Image()
	for _, part := range slices.Sorted(maps.Keys(image.Parts)) {
		if e := image.Parts[part]; e.Standing != poison.Noted {
			list = append(list, Suspect{
				Content: fmt.Sprintf("%016x", uint64(part)), Part: true, Convicted: e.Standing == poison.Convicted, Crashes: e.Crashes, Trial: e.Trial,
			})
		}
	}
	entries := image.Poison
	for _, content := range slices.Sorted(maps.Keys(entries)) {
		e := entries[content]
		list = append(list, Suspect{
			Content: fmt.Sprintf("%016x", uint64(content)), Organisation: e.Organisation,
			Convicted: e.Standing == poison.Convicted, Crashes: e.Crashes, Trial: e.Trial,
		})
	}
	return list, nil
}

// releaseFromQuarantine removes the conviction or suspicion of request content.
func (a *Admin) releaseFromQuarantine(author string, r *http.Request) (any, error) {
	content, err := strconv.ParseUint(r.PathValue("content"), 16, 64)
	if err != nil {
		return nil, badRequest("content: found %q, expected 16 hexadecimal digits", r.PathValue("content"))
	}
	reply, err := a.control.Propose(r.Context(), state.Command{Pardon: &state.Pardon{Content: poison.Content(content)}})
	if err != nil {
		return nil, err
	}
	a.log.Info("released from quarantine", "content", r.PathValue("content"), "author", author)
	return changeResponse(reply)
}

func (a *Admin) listOrders(_ string, r *http.Request) (any, error) {
	answer, err := a.control.Query(r.Context(), io.Query{Orders: true})
	if err != nil {
		return nil, err
	}
	if answer.Orders == nil {
		return []state.Order{}, nil
	}
	return answer.Orders, nil
}

// placeOrder validates an order and commits it. The leading keeper sends it to the endpoint.
func (a *Admin) placeOrder(author string, r *http.Request) (any, error) {
	opID := r.Header.Get("Operation-Id")
	if opID == "" {
		return nil, badRequest("header Operation-Id: found none, expected a text that is used for this order alone")
	}
	var p state.PlaceOrder
	if err := json.NewDecoder(r.Body).Decode(&p); err != nil {
		return nil, badRequest("decode order: %w", err)
	}
	if !slices.Contains(state.OrderKinds, p.Kind) {
		return nil, badRequest("Kind: found %q, expected one of %v", p.Kind, state.OrderKinds)
	}
	if p.Endpoint == "" {
		return nil, badRequest("Endpoint: found none, expected an endpoint's name")
	}
	reply, err := a.control.Propose(r.Context(), state.Command{OpID: author + "/" + opID, PlaceOrder: &p})
	if err != nil {
		return nil, err
	}
	return reply.Order, nil
}

// CallRecord is the ledger's record of a non-repeatable call.
type CallRecord struct {
	Phase    ledger.Phase
	Outcome  core.Outcome    `json:",omitempty"`
	Host     core.HostID     `json:",omitempty"`
	Endpoint core.EndpointID `json:",omitempty"`
}

func (a *Admin) getCall(_ string, r *http.Request) (any, error) {
	key := ledger.Key{Organisation: core.OrganisationID(r.PathValue("organisation")), Text: r.PathValue("key")}
	answer, err := a.control.Query(r.Context(), io.Query{Call: &key})
	if err != nil {
		return nil, err
	}
	if answer.Call == nil {
		return nil, &statusError{status: http.StatusNotFound, err: errors.New("the ledger does not know this key")}
	}
	c := answer.Call
	return CallRecord{Phase: c.Phase, Outcome: c.Answer.Outcome, Host: c.Holder.Host, Endpoint: c.Answer.Endpoint}, nil
}
