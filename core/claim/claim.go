package claim

import (
	"cmp"
	"math"
	"slices"

	"cyclamenford/core"
)

// Offer is the work that callers ask of one host for one organisation and priority, in slots kept busy.
type Offer struct {
	Priority     core.Priority
	Organisation core.OrganisationID
	Weight       float64
	Slots        float64
}

// Compare orders offers by priority and organisation.
func Compare(a, b Offer) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Organisation, b.Organisation))
}

// Part returns the part of a pool's slots that falls to the host with the own offers.
//
// All hosts' offers together are served urgent first, each priority keeping its guaranteed share;
// a priority's slots go to organisations by weighted max-min, and an organisation's to hosts in
// proportion to what they were asked. What nobody asks for is divided equally between the hosts.
func Part(slots float64, shares [core.PriorityCount]float64, own, others []Offer, hosts int) float64 {
	if slots <= 0 || hosts <= 1 {
		return 1
	}
	total := sum(own, others)
	byPriority := dividePriorities(slots, shares, total)
	part, used := 0.0, 0.0
	for p := core.Priority(0); p < core.PriorityCount; p++ {
		class := only(total, p)
		used += byPriority[p]
		for i, granted := range maxMin(byPriority[p], class) {
			if mine := find(own, class[i]); mine > 0 {
				part += granted * mine / class[i].Slots
			}
		}
	}
	return (part + max(0, slots-used)/float64(hosts)) / slots
}

// sum adds offers of the same priority and organisation, in their order.
func sum(a, b []Offer) []Offer {
	all := slices.Concat(a, b)
	slices.SortFunc(all, Compare)
	var total []Offer
	for _, o := range all {
		if n := len(total); n > 0 && Compare(total[n-1], o) == 0 {
			total[n-1].Slots += o.Slots
			continue
		}
		total = append(total, o)
	}
	return total
}

// Sum adds up the offers of several hosts.
func Sum(offers ...[]Offer) []Offer {
	return sum(slices.Concat(offers...), nil)
}

// changedPart is the part by which an offer must differ from the one told to be told again.
const changedPart = 0.15

// Changed returns the present offers that differ much from those told; an offer that has ended is told as 0 slots.
func Changed(told, present []Offer) []Offer {
	var list []Offer
	for _, o := range present {
		before := find(told, o)
		if math.Abs(o.Slots-before) > changedPart*max(before, 1) {
			list = append(list, o)
		}
	}
	for _, o := range told {
		if o.Slots > 1 && find(present, o) == 0 {
			o.Slots = 0
			list = append(list, o)
		}
	}
	return list
}

// Merge returns the offers with the changed ones put in the place of their former values.
func Merge(offers, changed []Offer) []Offer {
	merged := make([]Offer, 0, len(offers)+len(changed))
	for _, o := range offers {
		if !slices.ContainsFunc(changed, func(c Offer) bool { return Compare(c, o) == 0 }) {
			merged = append(merged, o)
		}
	}
	merged = append(merged, changed...)
	slices.SortFunc(merged, Compare)
	return merged
}

func only(offers []Offer, p core.Priority) []Offer {
	var list []Offer
	for _, o := range offers {
		if o.Priority == p && o.Slots > 0 {
			list = append(list, o)
		}
	}
	return list
}

func find(offers []Offer, key Offer) float64 {
	for _, o := range offers {
		if Compare(o, key) == 0 {
			return o.Slots
		}
	}
	return 0
}

// dividePriorities gives each priority its guaranteed share as far as it is asked for, and the rest urgent first.
func dividePriorities(slots float64, shares [core.PriorityCount]float64, total []Offer) [core.PriorityCount]float64 {
	var asked, granted [core.PriorityCount]float64
	for _, o := range total {
		asked[o.Priority] += o.Slots
	}
	left := slots
	for p := range granted {
		granted[p] = min(asked[p], shares[p]*slots)
		left -= granted[p]
	}
	for p := range granted {
		more := min(asked[p]-granted[p], max(0, left))
		granted[p] += more
		left -= more
	}
	return granted
}

// maxMin divides slots so that nobody gets more than asked and the least served relative to its weight gets most.
func maxMin(slots float64, offers []Offer) []float64 {
	granted := make([]float64, len(offers))
	order := make([]int, len(offers))
	weights := 0.0
	for i, o := range offers {
		order[i] = i
		weights += weightOf(o)
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(offers[a].Slots/weightOf(offers[a]), offers[b].Slots/weightOf(offers[b]))
	})
	for _, i := range order {
		w := weightOf(offers[i])
		granted[i] = min(offers[i].Slots, slots*w/weights)
		slots -= granted[i]
		weights -= w
	}
	return granted
}

func weightOf(o Offer) float64 {
	if o.Weight <= 0 {
		return 1
	}
	return o.Weight
}
