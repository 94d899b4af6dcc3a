package sched

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/bench/strict"
	"cyclamenford/core"
	"cyclamenford/core/conf"
	"cyclamenford/core/fleet"
	"cyclamenford/core/limit"
	"cyclamenford/core/order"
	"cyclamenford/core/poison"
)

// step is one event of a script and the actions that must follow it.
type step struct {
	At core.Millis
	// Do names the event. Each of the other fields is used by some events only.
	Do       string
	Endpoint order.Endpoint
	Leaving  bool
	Request  uint64
	Ask      order.PlacementRequest
	Call     uint64
	Results  []order.ItemResult
	How      order.AttemptOutcome
	Again    bool
	// Attempt is the attempt whose answer has begun, 0 for the present one.
	Attempt int
	Life    core.Incarnation
	Held    []order.HeldResults
	Running []order.RunningCall
	// Suspects are the suspicions against the pieces of one stage of the requests with the given contents.
	Suspects []struct {
		Content poison.Content
		Stage   int
		Suspicion
	}
	// Till is when a pause ends.
	Till core.Millis
	// Rate is the limit that an endpoint names.
	Rate float64
	// Domains are the evacuated failure domains.
	Domains []core.FailureDomain
	Want    []string
}

// TestScripts replays the events in testdata/scripts.json and compares the actions of the scheduler, written as text.
func TestScripts(t *testing.T) { playScripts(t, "testdata/scripts.json") }

// TestEvacuations guards against grants, stage calls, retries and releases at endpoints of evacuated failure domains, and against requests
// that wait for an endpoint which only the end of an evacuation would give them.
func TestEvacuations(t *testing.T) { playScripts(t, "testdata/evacuations.json") }

func playScripts(t *testing.T, path string) {
	raw, err := os.ReadFile(path)
	must.NoError(t, err)
	var file struct {
		Services []conf.Service
		Scripts  []struct {
			Name  string
			Steps []step
		}
	}
	must.NoError(t, strict.Decode(raw, &file))
	for _, script := range file.Scripts {
		t.Run(script.Name, func(t *testing.T) {
			s := New(fleet.RetryLimits{Ratio: 0.2, Slack: 10, Window: 10 * core.Second})
			s.Configure(1, file.Services)
			for i, x := range script.Steps {
				x.do(t, s)
				must.Eq(t, x.Want, describe(s.TakeActions()), must.Sprintf("step %d", i))
			}
		})
	}
}

func (x step) do(t *testing.T, s *Scheduler) {
	key := order.Key{Host: "h", Seq: x.Request}
	switch x.Do {
	case "Join":
		s.SetEndpoint(x.At, x.Endpoint, x.Leaving)
	case "Part":
		s.RemoveEndpoint(x.At, x.Endpoint.ID)
	case "Arrive":
		x.Ask.Key = key
		x.Ask.ID = core.RequestID(fmt.Sprint("r", x.Request))
		s.AddRequest(x.At, x.Ask)
	case "CallDone":
		s.CallDone(x.At, x.Call, x.Results, x.How)
	case "Began":
		s.FirstByteReceived(x.At, key, x.Attempt)
	case "Ended":
		s.AttemptEnded(x.At, key, x.How, x.Again)
	case "Suspects":
		suspects := map[poison.Content]Suspicion{}
		for _, h := range x.Suspects {
			suspects[h.Content.ForStage(h.Stage)] = h.Suspicion
		}
		s.SetSuspects(x.At, suspects)
	case "Paused":
		s.PauseForHost(x.At, "h", core.Life{Endpoint: x.Endpoint.ID, Incarnation: x.Life}, x.Till)
	case "PausedAll":
		s.PauseEndpoint(x.At, core.Life{Endpoint: x.Endpoint.ID, Incarnation: x.Life}, x.Till)
	case "Limit":
		l := core.Life{Endpoint: x.Endpoint.ID, Incarnation: x.Life}
		s.limits.(*limit.Issuer).Record(x.At, l, limit.Named(x.Rate), limit.Span{SentAt: x.At, HeardAt: x.At})
	case "Unlimited":
		l := core.Life{Endpoint: x.Endpoint.ID, Incarnation: x.Life}
		s.limits.(*limit.Issuer).Record(x.At, l, limit.Unlimited(), limit.Span{SentAt: x.At, HeardAt: x.At})
	case "Leave":
		s.CancelRequest(x.At, key)
	case "Inherit":
		s.Inherit(x.At, x.Held, x.Running)
	case "HostBegan":
		s.HostStarted(x.At, key.Host, x.Life)
	case "HostLost":
		s.HostLost(x.At, key.Host)
	case "Tick":
		s.Tick(x.At)
	case "Evacuate":
		domains := map[core.FailureDomain]bool{}
		for _, d := range x.Domains {
			domains[d] = true
		}
		s.SetEvacuated(x.At, domains)
	case "Returned":
		s.DomainReturned(x.At, x.Domains[0])
	case "Plain":
		s.Configure(x.At, []conf.Service{{Name: "first"}, {Name: "second"}, {Name: "engine"}})
	default:
		t.Fatalf("unknown event %q", x.Do)
	}
}

func describe(actions []order.Action) []string {
	var list []string
	for _, a := range actions {
		switch {
		case a.Grant != nil:
			list = append(list, fmt.Sprintf("grant %s at %s attempt %d inputs %s",
				a.Grant.ID, a.Grant.Endpoint, a.Grant.Attempt, strings.Join(a.Grant.Inputs, ",")))
		case a.Refuse != nil:
			text := fmt.Sprintf("refuse %s %s", a.Refuse.ID, a.Refuse.Reason)
			if q := a.Refuse.Queue; q.Service != "" {
				text += fmt.Sprintf(" after %d pieces of %s", q.Pieces, q.Service)
			}
			if a.Refuse.Reason == core.ReasonEndpointsLimited {
				text += fmt.Sprintf(" retry after %d", a.Refuse.RetryAfter)
			}
			list = append(list, text)
		case a.ResultsMade != nil:
			list = append(list, fmt.Sprintf("made %d/%d %s", a.ResultsMade.Key.Seq, a.ResultsMade.Stage, strings.Join(a.ResultsMade.Handles, ",")))
		case a.Call != nil:
			var items []string
			for _, i := range a.Call.Items {
				items = append(items, fmt.Sprintf("%s/%d/%d", i.ID, i.Stage, i.Piece))
			}
			list = append(list, fmt.Sprintf("call %d at %s %s", a.Call.Number, a.Call.Endpoint, strings.Join(items, " ")))
		case a.Free != nil && a.Free.Lost:
			list = append(list, fmt.Sprintf("forget at %s %s", a.Free.Address, strings.Join(a.Free.Handles, ",")))
		case a.Free != nil:
			list = append(list, fmt.Sprintf("free at %s %s", a.Free.Address, strings.Join(a.Free.Handles, ",")))
		}
	}
	return list
}
