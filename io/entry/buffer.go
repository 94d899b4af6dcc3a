package entry

import (
	"context"
	"io"
	"net"

	"cyclamenford/core"
	"cyclamenford/core/drain"
	"cyclamenford/io/listen"
)

// startBuffer makes the answer to the client go through a buffer, so that a client that reads slowly does not stop the reading from the
// endpoint. The buffer ends the attempt with cancel if it ends the answer. The returned function ends the buffering.
func (r *request) startBuffer(cancel context.CancelFunc) (restore func()) {
	pool := r.entry.buffers
	if pool == nil {
		return func() {}
	}
	end := listen.Redirect(r.httpRequest.Context(), func(c net.Conn) io.Writer {
		if r.buffer = pool.Answer(c, r.resumable(), cancel); r.buffer == nil {
			return nil
		}
		return r.buffer
	})
	return func() {
		r.buffer.Close()
		end()
	}
}

// drainBuffer waits until the client has read what is held for it, and returns the time that this took. If the client does not get all of
// it, the answer is not finished. The work of a stopping host does not wait longer than for requests in progress.
func (r *request) drainBuffer(out *answerWriter) (took core.Millis, err error) {
	if !r.buffer.Holds() {
		// Nothing is waited for.
		err := r.buffer.Drain(context.Background(), context.Background())
		out.finished = out.finished && err == nil
		return 0, err
	}
	began := r.entry.clock.Now()
	stop, cancel := context.WithCancel(context.Background())
	defer cancel()
	unregister := r.entry.shutdown.cancelAt(cancel, func(w drain.Window) core.Millis { return w.Ends })
	defer unregister()
	if err = r.buffer.Drain(r.httpRequest.Context(), stop); err != nil {
		out.finished = false
	}
	took = r.entry.clock.Now() - began
	r.entry.meter.Observe("buffer_drain_ms", int64(took))
	return took, err
}
