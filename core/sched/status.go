package sched

import "cyclamenford/core"

// Status is the current load of one service.
type Status struct {
	Service string
	// Endpoints is the number of known endpoints, and Usable the number of those that can get work.
	Endpoints, Usable int
	// Pieces counts the pieces that wait for a stage call, and Requests the requests that wait for an endpoint.
	Pieces, Requests int
	// RoomPercent is the percentage of the usable endpoints' room for results that is taken.
	RoomPercent int
	// RepeatsLeft is how many more requests the retry budget now allows to be sent to a second endpoint.
	RepeatsLeft int
	Speed       SpeedStatus
}

// Status returns the current load of every service, ordered by name.
func (s *Scheduler) Status(now core.Millis) []Status {
	var list []Status
	for _, name := range s.serviceNames() {
		svc := s.services[name]
		x := Status{
			Service: name, Endpoints: len(svc.Endpoints()), Requests: len(svc.waiting),
			RepeatsLeft: svc.RetriesAvailable(now, s.retries),
		}
		for _, g := range svc.groups {
			x.Pieces += len(g.pieces)
		}
		x.Speed = s.speedStatus(svc, now)
		var taken, room int64
		for _, e := range svc.Endpoints() {
			if !e.Usable(now) {
				continue
			}
			x.Usable++
			if svc.Pieces != nil {
				taken, room = taken+svc.Pieces.Room-e.FreeBytes(), room+svc.Pieces.Room
			}
		}
		if room > 0 {
			x.RoomPercent = int(100 * taken / room)
		}
		list = append(list, x)
	}
	return list
}

// Totals counts what a scheduler has done since its start.
type Totals struct {
	// Granted and Refused count decisions on requests.
	Granted, Refused uint64
	// ResultsMade counts the results of stages, and ResultsUnused those whose request had got no endpoint when they were freed.
	ResultsMade, ResultsUnused uint64
	// NoRoom counts the pieces that found no room at their endpoint, and Releases the orders to free results.
	NoRoom, Releases uint64
	// Dispatches counts the passes over the queues, and Examined the entries of the queues in them.
	Dispatches, Examined uint64
}

// Totals returns the counts since the start of the scheduler.
func (s *Scheduler) Totals() Totals { return s.totals }

// Backlog returns the number of requests without an endpoint, and of pieces that are in no call.
func (s *Scheduler) Backlog() (requests, pieces int) {
	for _, r := range s.requests {
		if r.endpoint == nil {
			requests++
		}
	}
	for _, svc := range s.services {
		for _, g := range svc.groups {
			pieces += len(g.pieces)
		}
	}
	return requests, pieces
}
