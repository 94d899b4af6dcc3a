package sched

import (
	"fmt"
	"testing"
)

// BenchmarkDecision plays a burst at the users' grown size and at multiples of it: endpoints and requests grow together. A
// request's time holds all decisions about it and the player's own work.
func BenchmarkDecision(b *testing.B) {
	for _, l := range loadsOf(b) {
		if l.Name != "grown loops burst of questions, then of everything" {
			continue
		}
		for _, times := range []int{1, 2, 4, 10} {
			m := l
			m.Seconds = 10
			m.Services = append(m.Services[:0:0], l.Services...)
			m.Classes = append(m.Classes[:0:0], l.Classes...)
			for i := range m.Services {
				m.Services[i].Endpoints *= times
			}
			for i := range m.Classes {
				m.Classes[i].PerSecond *= float64(times)
			}
			b.Run(fmt.Sprint(times), func(b *testing.B) {
				asked := 0
				for range b.N {
					for _, x := range play(m).tally {
						asked += x.Asked
					}
				}
				b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(asked), "us/request")
			})
		}
	}
}
