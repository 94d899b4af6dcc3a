// Package kept is an HTTP client that keeps one connection open and never repeats a request by itself, unlike the client of
// net/http: a test sees each request that was closed without an answer.
package kept
