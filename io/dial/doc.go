// Package dial speaks the endpoints' protocol as docs/endpoints.md describes it.
package dial
