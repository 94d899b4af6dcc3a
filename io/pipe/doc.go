// Package pipe is an HTTP/1.1 client for endpoints with its own connection pool. Its errors tell whether an endpoint may
// have read a failed request, and it never resends a request.
package pipe
