// Package fair is a queue that orders items by priority, organisation and deadline: the most urgent priority first,
// with a guaranteed share for each one, start-time fair queueing between organisations, and the earliest deadline first
// within one.
package fair
