package trial

import "cyclamenford/core"

// baselineTries is how often the baseline runs a stage before it gives up.
const baselineTries = 3

// plainStage runs a stage at a random endpoint, first in first out, three times at most.
func (w *world) plainStage(r *request, index, try int) {
	kind := r.keys[index].Pool
	list := w.byPool[kind]
	f := list[w.rng.IntN(len(list))]
	v := &visit{}
	if w.scenario.AllKnowing {
		f = allKnowing(list, r.prefix, kind.Kind)
		v.prefix = r.prefix
		if kind.Kind != core.Generate {
			v.prefix = 0
		}
	}
	w.result.Dispatches++
	if try == 1 && index == 0 {
		w.result.First++
	}
	if try > 1 {
		w.result.Retries++
	}
	v.done = func(ok bool) {
		r.used += v.used
		w.after(w.distance(r.host.domain, f.announce.FailureDomain), func() { w.plainReturned(r, index, try, ok) })
	}
	w.after(w.distance(r.host.domain, f.announce.FailureDomain), func() {
		if !f.accept(core.Normal, v) {
			w.plainReturned(r, index, try, false)
		}
	})
}

func (w *world) plainReturned(r *request, index, try int, ok bool) {
	switch {
	case r.ended:
	case !ok && try < baselineTries:
		w.plainStage(r, index, try+1)
	case !ok:
		w.end(r, core.ReasonEndpointFailed, 0)
	case index+1 < len(r.keys):
		w.plainStage(r, index+1, 1)
	default:
		w.end(r, "", 0)
	}
}

// allKnowing returns the endpoint with the least work among those that hold the prefix and have room, or among all.
func allKnowing(list []*fake, prefix uint64, kind core.StageKind) *fake {
	best := list[0]
	for _, f := range list {
		if f.running < best.running {
			best = f
		}
	}
	if prefix == 0 || kind != core.Generate {
		return best
	}
	var holder *fake
	for _, f := range list {
		_, holds := f.cache[prefix]
		if holds && f.running < f.announce.Slots && (holder == nil || f.running < holder.running) {
			holder = f
		}
	}
	if holder != nil {
		return holder
	}
	return best
}
