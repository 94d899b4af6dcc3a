// Package sched is the central scheduler for all entry hosts. It groups the pieces of stages into calls, chooses the
// endpoint of each request and refuses requests that cannot be served in time.
package sched
