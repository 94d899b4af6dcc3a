// Package dial is the HTTP client for endpoints. It implements the protocol described in docs/endpoints.md: runs,
// streams, resumes, probes, orders and cancellations.
package dial
