package stand

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"

	"cyclamenford/core"
	"cyclamenford/io/dial"
)

// orderLog carries out orders and remembers the largest fencing number.
type orderLog struct {
	server  *Server
	mu      sync.Mutex
	highest uint64
	effects []dial.Order
	answers map[uint64]dial.OrderAnswer
}

func newOrderLog(s *Server) *orderLog {
	return &orderLog{server: s, answers: map[uint64]dial.OrderAnswer{}}
}

// Orders returns the orders that took effect, in order.
func (s *Server) Orders() []dial.Order {
	s.orders.mu.Lock()
	defer s.orders.mu.Unlock()
	return slices.Clone(s.orders.effects)
}

func (l *orderLog) serve(w http.ResponseWriter, r *http.Request) {
	var o dial.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		reply(w, http.StatusBadRequest, dial.Refusal{Outcome: core.NotRun, Detail: err.Error()})
		return
	}
	if l.server.options.ChecksIssuer && l.server.options.Key != "" && r.Header.Get("Authorization") != "Bearer "+l.server.options.Key {
		reply(w, http.StatusForbidden, dial.Refusal{Outcome: core.NotRun, Detail: "the issuer is not known"})
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if answer, ok := l.answers[o.Fence]; ok {
		reply(w, http.StatusOK, answer)
		return
	}
	if l.server.options.ChecksFencing && o.Fence < l.highest {
		reply(w, http.StatusConflict, dial.Refusal{
			Outcome: core.NotRun, Detail: fmt.Sprintf("fencing number %d is older than %d", o.Fence, l.highest),
		})
		return
	}
	l.highest = max(l.highest, o.Fence)
	answer := l.carryOut(r, o)
	l.answers[o.Fence] = answer
	reply(w, http.StatusOK, answer)
}

func (l *orderLog) carryOut(r *http.Request, o dial.Order) dial.OrderAnswer {
	if o.Bytes > 0 && l.server.options.WeightStore != "" {
		if err := fetchWeights(r.Context(), l.server.options.WeightStore, o.Target, o.Bytes); err != nil {
			return dial.OrderAnswer{Fence: o.Fence, Failed: true, Detail: err.Error()}
		}
	}
	l.effects = append(l.effects, o)
	l.server.applyOrder(o)
	return dial.OrderAnswer{Fence: o.Fence, Detail: "done"}
}

func (s *Server) applyOrder(o dial.Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch o.Kind {
	case "LoadModel", "LoadAdapter":
		if !slices.Contains(s.options.Models, o.Target) {
			s.options.Models = append(slices.Clone(s.options.Models), o.Target)
		}
	case "Drain":
		s.left = true
	}
}
