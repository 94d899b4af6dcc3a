// Package broker makes the endpoint scheduler of a host (core/desk) safe for concurrent use. It passes events to the
// scheduler under a lock and delivers the resulting grants and refusals to the waiting requests.
package broker
