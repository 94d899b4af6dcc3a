package listen

import (
	"io"
	"net/http"
)

// MaxBytesReader is http.MaxBytesReader for a handler of a Server. net/http answers a request that is too large at once only if it is given
// its own writer; with another one it first reads on.
func MaxBytesReader(w http.ResponseWriter, body io.ReadCloser, limit int64) io.ReadCloser {
	if r, ok := w.(*response); ok {
		w = r.ResponseWriter
	}
	return http.MaxBytesReader(w, body, limit)
}

// response adds "Connection: close" to answers whose header is written after the server has begun to leave.
type response struct {
	http.ResponseWriter
	server      *Server
	wroteHeader bool
}

// WriteHeader writes the status and the header.
func (r *response) WriteHeader(status int) {
	if status >= http.StatusOK {
		r.setHeader()
	}
	r.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (r *response) Write(p []byte) (int, error) {
	r.setHeader()
	return r.ResponseWriter.Write(p)
}

// FlushError sends what was written so far.
func (r *response) FlushError() error {
	r.setHeader()
	return http.NewResponseController(r.ResponseWriter).Flush()
}

// Flush sends what was written so far.
func (r *response) Flush() {
	// An error shows at the next write.
	_ = r.FlushError()
}

// Unwrap returns the writer of the HTTP server, for http.ResponseController.
func (r *response) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// setHeader announces the end of the connection, before the header is written for the first time.
func (r *response) setHeader() {
	if r.wroteHeader {
		return
	}
	r.wroteHeader = true
	if r.server.leaving.Load() {
		r.Header().Set("Connection", "close")
	}
}
