package state

import (
	"cyclamenford/core"
)

// OrderKind is the operation that an order requests of an endpoint.
type OrderKind string

// The kinds of order.
const (
	LoadModel   OrderKind = "LoadModel"
	LoadAdapter OrderKind = "LoadAdapter"
	ChangeRole  OrderKind = "ChangeRole"
	DrainOrder  OrderKind = "Drain"
)

// OrderKinds lists every kind of order.
var OrderKinds = []OrderKind{LoadModel, LoadAdapter, ChangeRole, DrainOrder}

// OrderPhase is the state of an order.
type OrderPhase string

// The phases of an order.
const (
	OrderOpen   OrderPhase = "Open"
	OrderDone   OrderPhase = "Done"
	OrderFailed OrderPhase = "Failed"
)

// PlaceOrder creates an order to an endpoint.
type PlaceOrder struct {
	Endpoint core.EndpointID
	Kind     OrderKind
	// Target is the name of the model, adapter or role.
	Target   string
	Version  string
	Bytes    int64
	Priority core.Priority
}

// Order is a replicated instruction to an endpoint, with its state.
type Order struct {
	// Fence is the order's fencing number: the log index of its PlaceOrder command, so that it grows with each order.
	Fence    uint64
	Place    PlaceOrder
	Phase    OrderPhase
	Detail   string
	PlacedAt core.Millis
	EndedAt  core.Millis
}

// FinishOrder records the endpoint's answer to an order.
type FinishOrder struct {
	Fence  uint64
	Phase  OrderPhase
	Detail string
}

// orderRetention is how long a finished order stays in the list of orders.
const orderRetention = 24 * 60 * 60 * core.Second

func (m *Machine) placeOrder(c PlaceOrder) Reply {
	o := Order{Fence: m.applied, Place: c, Phase: OrderOpen, PlacedAt: m.unix}
	m.orders[o.Fence] = o
	return Reply{Result: Accepted, Order: &o}
}

func (m *Machine) finishOrder(c FinishOrder) Reply {
	o, ok := m.orders[c.Fence]
	if !ok || o.Phase != OrderOpen {
		return Reply{Result: Refused, Detail: "the order is not open"}
	}
	o.Phase, o.Detail, o.EndedAt = c.Phase, c.Detail, m.unix
	m.orders[c.Fence] = o
	return Reply{Result: Accepted, Order: &o}
}

// Orders returns all orders, oldest first.
func (m *Machine) Orders() []Order {
	var list []Order
	for _, fence := range sortedKeys(m.orders) {
		list = append(list, m.orders[fence])
	}
	return list
}

// purgeOrders removes finished orders whose retention time has passed.
func (m *Machine) purgeOrders() {
	for fence, o := range m.orders {
		if o.Phase != OrderOpen && o.EndedAt < m.unix-orderRetention {
			delete(m.orders, fence)
		}
	}
}
