package claim

import (
	"cmp"
	"math"
	"slices"

	"cyclamenford/core"
)

// Offer is the load that callers offer to one host for one organisation and priority, admitted or not. Slots is the
// number of slots that it would keep busy.
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

// HostShare returns the fraction of a pool's slots that the host with the own offers may use.
//
// It divides the slots by the offers of all hosts together: first between priorities, the most urgent first, each with
// its guaranteed share; then a priority's slots between organisations by weighted max-min fairness; then an
// organisation's slots between hosts in proportion to their offers. Slots beyond all offers are divided equally between
// the hosts.
func HostShare(slots float64, shares [core.PriorityCount]float64, own, others []Offer, hosts int) float64 {
	if slots <= 0 || hosts <= 1 {
		return 1
	}
	total := mergeSums(own, others)
	byPriority := dividePriorities(slots, shares, total)
	part, used := 0.0, 0.0
	for p := core.Priority(0); p < core.PriorityCount; p++ {
		class := ofPriority(total, p)
		used += byPriority[p]
		for i, granted := range maxMin(byPriority[p], class) {
			if ownSlots := slotsOf(own, class[i]); ownSlots > 0 {
				part += granted * ownSlots / class[i].Slots
			}
		}
	}
	return (part + max(0, slots-used)/float64(hosts)) / slots
}

// mergeSums adds up offers of the same priority and organisation and returns the sums in the order of Compare.
func mergeSums(a, b []Offer) []Offer {
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

// SumOffers adds up the offers of several hosts.
func SumOffers(offers ...[]Offer) []Offer {
	return mergeSums(slices.Concat(offers...), nil)
}

// changeThreshold is the relative change above which an offer is sent again. It is relative to the last sent value, but
// to 1 slot at least.
const changeThreshold = 0.15

// ChangedOffers returns the present offers that differ much from those sent last. An offer that has ended is
// returned with 0 slots, if more than 1 slot was sent.
func ChangedOffers(sent, current []Offer) []Offer {
	var list []Offer
	for _, o := range current {
		sentSlots := slotsOf(sent, o)
		if math.Abs(o.Slots-sentSlots) > changeThreshold*max(sentSlots, 1) {
			list = append(list, o)
		}
	}
	for _, o := range sent {
		if o.Slots > 1 && slotsOf(current, o) == 0 {
			o.Slots = 0
			list = append(list, o)
		}
	}
	return list
}

// MergeChanged returns the offers with the changed ones added, or replaced if they are there already, in the order of
// Compare.
func MergeChanged(offers, changed []Offer) []Offer {
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

func ofPriority(offers []Offer, p core.Priority) []Offer {
	var list []Offer
	for _, o := range offers {
		if o.Priority == p && o.Slots > 0 {
			list = append(list, o)
		}
	}
	return list
}

func slotsOf(offers []Offer, key Offer) float64 {
	for _, o := range offers {
		if Compare(o, key) == 0 {
			return o.Slots
		}
	}
	return 0
}

// dividePriorities gives each priority its guaranteed share, but no more than it demands, and divides the rest with the
// most urgent priority first.
func dividePriorities(slots float64, shares [core.PriorityCount]float64, total []Offer) [core.PriorityCount]float64 {
	var demanded, granted [core.PriorityCount]float64
	for _, o := range total {
		demanded[o.Priority] += o.Slots
	}
	left := slots
	for p := range granted {
		granted[p] = min(demanded[p], shares[p]*slots)
		left -= granted[p]
	}
	for p := range granted {
		more := min(demanded[p]-granted[p], max(0, left))
		granted[p] += more
		left -= more
	}
	return granted
}

// maxMin divides slots by weighted max-min fairness: no offer gets more than it demands, and what an offer leaves of
// its weighted share goes to the others.
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
