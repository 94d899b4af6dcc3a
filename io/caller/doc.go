// Package caller is an HTTP client for the callers' API. It sends requests, reads answers and event streams, and
// resumes broken streams at another host.
package caller
