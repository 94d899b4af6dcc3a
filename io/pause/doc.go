// Package pause parses the Retry-After header by which an endpoint asks for a pause.
package pause
