package trial

import (
	"math"

	"cyclamenford/core"
)

// fake is one endpoint: a bounded number of sequences and a queue.
type fake struct {
	world    *world
	announce core.Announcement
	workMs   float64
	prefill  float64
	dead     bool
	slow     float64
	running  int
	waiting  [core.PriorityCount][]*visit
	seq      uint64
	cache    map[uint64]uint64
	uses     uint64
	events   []core.CacheEvent
	eventSeq uint64
	left     bool
	leftAt   core.Millis
}

// visit is one attempt at an endpoint.
type visit struct {
	prefix  uint64
	done    func(ok bool)
	ended   bool
	started bool
	began   core.Millis
	used    core.Millis
}

// cacheBound is the number of prefixes that one engine keeps.
const cacheBound = 24

// jitter is the spread of the logarithm of service times, and meanJitter the mean factor that follows from it.
const (
	jitter     = 0.2
	meanJitter = 1.0202
)

// accept takes an attempt in, or returns false when nothing listens.
func (f *fake) accept(p core.Priority, v *visit) bool {
	if f.dead {
		return false
	}
	if f.left {
		f.world.result.LastNew = max(f.world.result.LastNew, f.world.now-f.leftAt)
	}
	if f.running < f.announce.Slots {
		f.start(v)
		return true
	}
	if f.world.scenario.Baseline {
		p = core.Normal
	}
	f.waiting[p] = append(f.waiting[p], v)
	return true
}

func (f *fake) start(v *visit) {
	f.running++
	v.started, v.began = true, f.world.now
	took := f.workMs * f.slow * math.Exp(f.world.rng.NormFloat64()*jitter)
	if v.prefix != 0 && f.use(v.prefix) {
		took -= f.prefill * f.slow
	}
	f.world.after(core.Millis(max(1, took)), func() { f.finish(v, true) })
}

// finish ends a visit and lets the most urgent waiting one start.
func (f *fake) finish(v *visit, ok bool) {
	if v.ended {
		return
	}
	v.ended = true
	if !v.started {
		v.done(ok)
		return
	}
	v.used = f.world.now - v.began
	f.running--
	v.done(ok && !f.dead)
	for p := range f.waiting {
		for len(f.waiting[p]) > 0 && f.running < f.announce.Slots {
			next := f.waiting[p][0]
			f.waiting[p] = f.waiting[p][1:]
			if !next.ended {
				f.start(next)
			}
		}
	}
}

// die ends every visit; callers notice at once.
func (f *fake) die() {
	f.dead = true
	for p := range f.waiting {
		for _, v := range f.waiting[p] {
			f.finish(v, false)
		}
		f.waiting[p] = nil
	}
}

// use looks a prefix up and stores it; it reports whether it was there.
func (f *fake) use(prefix uint64) bool {
	f.uses++
	_, hit := f.cache[prefix]
	f.cache[prefix] = f.uses
	if !hit {
		f.emit(prefix, false)
	}
	f.world.result.Prefixes++
	if hit {
		f.world.result.PrefixHits++
	}
	if len(f.cache) > cacheBound {
		f.evict()
	}
	return hit
}

func (f *fake) evict() {
	var oldest uint64
	for p, u := range f.cache {
		if oldest == 0 || u < f.cache[oldest] {
			oldest = p
		}
	}
	delete(f.cache, oldest)
	f.emit(oldest, true)
}

func (f *fake) emit(prefix uint64, evicted bool) {
	f.eventSeq++
	if f.world.active("LostCacheEvents", f) != nil && f.eventSeq%3 == 0 {
		return
	}
	f.events = append(f.events, core.CacheEvent{Seq: f.eventSeq, Prefix: prefix, Evicted: evicted})
}

// report returns the present announcement and empties the cache events.
func (f *fake) report() core.Announcement {
	f.seq++
	queued := 0
	for _, w := range f.waiting {
		queued += len(w)
	}
	a := f.announce.WithLoad(core.Load{Running: f.running, Queued: queued, Seq: f.seq})
	a.Seq = f.seq
	a.CacheEvents = f.events
	if f.left {
		a = a.WithGoodbye()
	}
	f.events = nil
	return a
}
