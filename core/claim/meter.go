package claim

import (
	"cmp"
	"math"
	"slices"

	"cyclamenford/core"
)

const (
	// smoothingTime is the time constant of the exponential smoothing.
	smoothingTime = 2 * core.Second
	// minSlots is the offer below which an organisation is dropped as inactive.
	minSlots = 0.01
	// stepsPerSlot is the number of steps per slot to which offers are rounded, so that they encode in few bytes.
	stepsPerSlot = 64
)

// Meter measures one host's offers, with exponential smoothing.
type Meter struct {
	rates map[key]*rate
	order []key
}

type key struct {
	priority     core.Priority
	organisation core.OrganisationID
}

type rate struct {
	slots     float64
	weight    float64
	updatedAt core.Millis
}

// NewMeter returns a meter without offers.
func NewMeter() *Meter {
	return &Meter{rates: map[key]*rate{}}
}

// Add counts a request of the given cost in milliseconds towards the offer of its priority and organisation.
func (m *Meter) Add(now core.Millis, p core.Priority, org core.OrganisationID, weight, cost float64) {
	k := key{p, org}
	r, ok := m.rates[k]
	if !ok {
		r = &rate{updatedAt: now}
		m.rates[k] = r
		i, _ := slices.BinarySearchFunc(m.order, k, compareKeys)
		m.order = slices.Insert(m.order, i, k)
	}
	r.decay(now)
	r.slots += cost / float64(smoothingTime)
	r.weight = weight
}

// Offers returns the present offers in the order of Compare, and drops the inactive organisations.
func (m *Meter) Offers(now core.Millis) []Offer {
	var list []Offer
	m.order = slices.DeleteFunc(m.order, func(k key) bool {
		r := m.rates[k]
		r.decay(now)
		if r.slots < minSlots {
			delete(m.rates, k)
			return true
		}
		list = append(list, Offer{Priority: k.priority, Organisation: k.organisation, Weight: r.weight, Slots: math.Round(r.slots*stepsPerSlot) / stepsPerSlot})
		return false
	})
	return list
}

func (r *rate) decay(now core.Millis) {
	r.slots *= math.Exp(-float64(now-r.updatedAt) / float64(smoothingTime))
	r.updatedAt = now
}

func compareKeys(a, b key) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.organisation, b.organisation))
}
