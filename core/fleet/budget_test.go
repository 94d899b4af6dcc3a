package fleet

import (
	"testing"

	"github.com/shoenig/test/must"

	"cyclamenford/core"
)

func TestRepeatsStayWithinTheBudgetOfEveryWindow(t *testing.T) {
	r := Retries{Ratio: 0.2, Slack: 20, Window: 10 * core.Second}
	var b Budget
	var at []core.Millis
	for now := core.Millis(1); now < 60*core.Second; now += 50 {
		b.First(now, r)
		for range 3 {
			if b.Spend(now, r) {
				at = append(at, now)
			}
		}
	}
	must.Greater(t, 50, len(at))
	for i, from := range at {
		n := 0
		for _, other := range at[i:] {
			if other < from+r.Window {
				n++
			}
		}
		// 200 requests arrive in each window; two leaders may share one.
		must.LessEq(t, int(0.5*(r.Ratio*200+r.Slack))+1, n)
	}
}
