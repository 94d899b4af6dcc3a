package trial

import (
	"slices"

	"cyclamenford/core"
)

// Class is what one organisation's work of one priority got.
type Class struct {
	Priority     core.Priority
	Organisation core.OrganisationID
	Offered      int
	InTime       int
	Refused      int
	Late         int
	Failed       int
	// Reasons counts what was not answered in time by reason.
	Reasons map[core.Reason]int
}

// Result is what a trial measured after its warm-up.
type Result struct {
	Scenario string
	Classes  []Class
	// Capacity is the number of requests that the endpoints could have served.
	Capacity float64
	// Dispatches counts attempts sent to endpoints, First the admitted requests, Retries the attempts beyond the first.
	Dispatches, First, Retries int
	// Useful and Wasted are endpoint time in milliseconds spent on answers in time and on others.
	Useful, Wasted float64
	Prefixes       int
	PrefixHits     int
	// Overshoot is the most by which a team's concurrency went over its limit, relative to it.
	Overshoot float64
	// Shares are the guaranteed shares of the priorities.
	Shares [core.PriorityCount]float64
	// LastNew is the longest time after a goodbye at which an endpoint still got new work.
	LastNew core.Millis
	took    []core.Millis
}

func newResult(s Scenario) Result {
	return Result{Scenario: s.Name}
}

func (r *Result) class(p core.Priority, org core.OrganisationID) *Class {
	for i := range r.Classes {
		if r.Classes[i].Priority == p && r.Classes[i].Organisation == org {
			return &r.Classes[i]
		}
	}
	r.Classes = append(r.Classes, Class{Priority: p, Organisation: org})
	return &r.Classes[len(r.Classes)-1]
}

func (r *Result) offer(q *request) {
	r.class(q.priority, q.org).Offered++
}

func (r *Result) end(q *request, now core.Millis, reason core.Reason, back bool) {
	c := r.class(q.priority, q.org)
	switch {
	case reason == "":
		c.InTime++
		r.Useful += float64(q.used)
		r.took = append(r.took, now-q.arrived)
		return
	case back:
	case reason == core.ReasonDeadlineExceeded:
		c.Late++
	case reason == core.ReasonEndpointFailed || reason == "HostLost":
		c.Failed++
	default:
		c.Refused++
	}
	if !back {
		if c.Reasons == nil {
			c.Reasons = map[core.Reason]int{}
		}
		c.Reasons[reason]++
	}
	r.Wasted += float64(q.used)
}

// sum adds up the classes that match; a nil priority or an empty organisation matches all.
func (r Result) sum(p *core.Priority, org core.OrganisationID) Class {
	var s Class
	for _, c := range r.Classes {
		if p != nil && c.Priority != *p || org != "" && c.Organisation != org {
			continue
		}
		s.Offered += c.Offered
		s.InTime += c.InTime
		s.Refused += c.Refused
		s.Late += c.Late
		s.Failed += c.Failed
	}
	return s
}

// Attainment returns the part of a priority's requests that were answered in time.
func (r Result) Attainment(p core.Priority) float64 {
	s := r.sum(&p, "")
	return ratio(s.InTime, s.Offered)
}

// OrganisationAttainment returns the part of an organisation's requests that were answered in time.
func (r Result) OrganisationAttainment(org core.OrganisationID) float64 {
	s := r.sum(nil, org)
	return ratio(s.InTime, s.Offered)
}

// Served returns the number of a priority's requests that were answered in time.
func (r Result) Served(p core.Priority) float64 {
	return float64(r.sum(&p, "").InTime)
}

// Offered returns the number of a priority's requests.
func (r Result) Offered(p core.Priority) float64 {
	return float64(r.sum(&p, "").Offered)
}

// Goodput returns the answers in time relative to the smaller of capacity and demand.
func (r Result) Goodput() float64 {
	s := r.sum(nil, "")
	return float64(s.InTime) / min(r.Capacity, float64(s.Offered))
}

// WastedShare returns the part of endpoint time spent on answers that did not come in time.
func (r Result) WastedShare() float64 {
	return r.Wasted / max(1, r.Useful+r.Wasted)
}

// RetryShare returns retries relative to first attempts.
func (r Result) RetryShare() float64 {
	return ratio(r.Retries, r.First)
}

// HitShare returns the part of generations whose prefix was cached.
func (r Result) HitShare() float64 {
	return ratio(r.PrefixHits, r.Prefixes)
}

// Tail returns the time that 95 of 100 answers stayed under.
func (r Result) Tail() core.Millis {
	if len(r.took) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(r.took))
	return sorted[len(sorted)*95/100]
}

// Jain returns Jain's index over each organisation's service relative to what a fair division gives it.
func (r Result) Jain() float64 {
	served := map[core.OrganisationID]float64{}
	offered := map[core.OrganisationID]float64{}
	var orgs []core.OrganisationID
	for _, c := range r.Classes {
		if _, known := offered[c.Organisation]; !known {
			orgs = append(orgs, c.Organisation)
		}
		served[c.Organisation] += float64(c.InTime)
		offered[c.Organisation] += float64(c.Offered)
	}
	fair := maxMin(orgs, offered, r.Capacity)
	sum, squares := 0.0, 0.0
	for _, o := range orgs {
		x := min(1, served[o]/fair[o])
		sum += x
		squares += x * x
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(orgs)) * squares)
}

// maxMin divides a capacity so that nobody gets more than asked and the least served get as much as possible.
func maxMin(orgs []core.OrganisationID, offered map[core.OrganisationID]float64, capacity float64) map[core.OrganisationID]float64 {
	fair := map[core.OrganisationID]float64{}
	sorted := slices.Clone(orgs)
	slices.SortFunc(sorted, func(a, b core.OrganisationID) int {
		return int(offered[a] - offered[b])
	})
	for i, o := range sorted {
		fair[o] = min(offered[o], capacity/float64(len(sorted)-i))
		capacity -= fair[o]
	}
	return fair
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
