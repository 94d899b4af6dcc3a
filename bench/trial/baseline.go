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
