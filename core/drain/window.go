package drain

import "cyclamenford/core"

// unknownShare is the share of a stop during which a request of unknown length may begin: it is assumed to take no longer
// than the rest.
const unknownShare = 1.0 / 3

// Window is the time in which a stopping host ends its work, on the host's clock.
type Window struct {
	// Began is when the stop began, and Ends when the work that is left is ended.
	Began, Ends core.Millis
}

// LastStart returns when a request of the given length can last be sent so that it ends within the window. A length of 0
// means that it is not known.
func (w Window) LastStart(length core.Millis) core.Millis {
	if length <= 0 {
		return w.Began + core.Millis(unknownShare*float64(w.Ends-w.Began))
	}
	return w.Ends - length
}
