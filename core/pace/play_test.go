package pace

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test"

	"cyclamenford/core"
)

// method decides, for one host, how much the endpoint that has recovered gets.
type method interface {
	Started(now core.Millis, slots int, share float64)
	Answered(now, elapsed core.Millis, usual float64, running int)
	Failed(now, sentAt core.Millis)
	HasRoom(now core.Millis, running int, draw float64) bool
}

// gradient follows the ratio of the usual to the observed time, with room for a queue of the square root of the limit.
type gradient struct{ limit, full, share float64 }

func (g *gradient) Started(_ core.Millis, slots int, share float64) {
	g.limit, g.full, g.share = initialLimit*share, float64(slots)*share, share
}

func (g *gradient) Answered(_, elapsed core.Millis, usual float64, _ int) {
	ratio := max(0.5, min(1, usual/float64(elapsed)))
	g.limit = max(minLimit*g.share, g.limit*ratio+g.share*math.Sqrt(g.limit/g.share))
}
func (g *gradient) Failed(_, _ core.Millis) { g.limit = max(minLimit*g.share, g.limit/2) }
func (g *gradient) HasRoom(_ core.Millis, running int, draw float64) bool {
	return g.limit >= g.full || float64(running)+draw < g.limit
}

// ramp gives a share of the usual work that grows over a fixed time.
type ramp struct{ startedAt core.Millis }

func (r *ramp) Started(now core.Millis, _ int, _ float64)   { r.startedAt = now }
func (r *ramp) Answered(_, _ core.Millis, _ float64, _ int) {}
func (r *ramp) Failed(now, _ core.Millis)                   { r.startedAt = now }
func (r *ramp) HasRoom(now core.Millis, _ int, draw float64) bool {
	return draw < float64(now-r.startedAt)/rampTime
}

const (
	rampTime = 6000.0
	// The played service: eight endpoints of 16 slots whose calls take 100 ms, of which the first one comes back at the start
	// of the play, cold for three seconds. Cold calls take up to four times as long, and more than 40 starts in a second crash a
	// cold endpoint, about twice what a hard bound of 9.7 a second allows.
	playedEndpoints, playedSlots     = 8, 16
	playedWork, playedCold, playedMs = 100.0, 3000.0, 15000
	playedCrash, playedDown          = 40, 2000
	playedDeadline, playedSeeds      = 400, 5
)

// result is what a method achieves.
type result struct {
	asked, inTime, crashes int
	// idle is the part of the time in which the recovered endpoint ran and had nothing to do.
	idle float64
}

// count counts an answer that is in time. Requests near the end of the play do not count.
func (r *result) count(now, sentAt core.Millis) {
	if now-sentAt <= playedDeadline && sentAt < playedMs-playedDeadline {
		r.inTime++
	}
}

// play plays a number of hosts, each of which knows only its own requests.
func play(hosts int, perSecond float64, newMethod func() method, seed uint64) (out result) {
	rng := rand.New(rand.NewPCG(seed, 1))
	share := 1 / float64(hosts)
	paced, own := make([]method, hosts), make([][playedEndpoints]int, hosts)
	for h := range paced {
		paced[h] = newMethod()
		paced[h].Started(0, playedSlots, share)
	}
	type done struct {
		host, endpoint, life int
		sentAt               core.Millis
	}
	ends := map[core.Millis][]done{}
	var running [playedEndpoints]int
	var starts [playedMs]int
	backAt, life, idleMs := core.Millis(0), 0, 0
	cold := func(now core.Millis) float64 { return max(0, 1-float64(now-backAt)/playedCold) }
	for now := core.Millis(0); now < playedMs; now++ {
		for _, d := range ends[now] {
			own[d.host][d.endpoint]--
			if d.endpoint > 0 {
				running[d.endpoint]--
				out.count(now, d.sentAt)
				continue
			}
			if d.life != life {
				paced[d.host].Failed(now, d.sentAt)
				continue
			}
			running[0]--
			out.count(now, d.sentAt)
			paced[d.host].Answered(now, now-d.sentAt, playedWork, own[d.host][0]+1)
		}
		for arrivals := rng.Float64(); arrivals < perSecond/1000; arrivals++ {
			if now < playedMs-playedDeadline {
				out.asked++
			}
			h := rng.IntN(hosts)
			best := -1
			for _, e := range rng.Perm(playedEndpoints) {
				if e == 0 && (now < backAt || !paced[h].HasRoom(now, own[h][0], rng.Float64())) {
					continue
				}
				if best < 0 || own[h][e] < own[h][best] {
					best = e
				}
			}
			own[h][best]++
			running[best]++
			took := playedWork * max(1, float64(running[best])/playedSlots)
			if best == 0 {
				took *= 1 + 3*cold(now)
				starts[now]++
				recent := 0
				for _, n := range starts[max(0, now-999) : now+1] {
					recent += n
				}
				if cold(now) > 0 && recent > playedCrash {
					out.crashes++
					life++
					running[0], backAt = 0, now+playedDown
				}
			}
			at := now + max(1, core.Millis(took))
			ends[at] = append(ends[at], done{host: h, endpoint: best, life: life, sentAt: now})
			if best == 0 && now < backAt {
				ends[at][len(ends[at])-1].life = -1
			}
		}
		delete(ends, now)
		if now >= backAt && running[0] == 0 {
			idleMs++
		}
	}
	out.idle = float64(idleMs) / playedMs
	return out
}

// TestMethods plays the methods that docs/design/pace.md compares and prints its table. It guards against a window that crashes
// an endpoint which has recovered, or leaves it idle, at any number of hosts.
func TestMethods(t *testing.T) {
	methods := []struct {
		name string
		make func() method
	}{
		{"window", func() method { return new(Window) }},
		{"delay gradient", func() method { return new(gradient) }},
		{"slow start by weight", func() method { return new(ramp) }},
	}
	t.Log("hosts  method                asked  in time  crashes  idle")
	for _, hosts := range []int{1, 9, 78, 300} {
		for _, m := range methods {
			var r result
			for seed := range uint64(playedSeeds) {
				x := play(hosts, 700, m.make, seed)
				r.asked, r.inTime, r.crashes, r.idle = r.asked+x.asked, r.inTime+x.inTime, r.crashes+x.crashes, r.idle+x.idle/playedSeeds
			}
			t.Logf("%5d  %-20s  %5d  %7.4f  %7d  %.3f", hosts, m.name, r.asked, float64(r.inTime)/float64(r.asked), r.crashes, r.idle)
			if m.name == "window" {
				test.Zero(t, r.crashes)
				test.GreaterEq(t, 0.99, float64(r.inTime)/float64(r.asked))
				test.LessEq(t, 0.25, r.idle)
			}
		}
	}
}
