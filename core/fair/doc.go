// Package fair orders waiting work: urgent first with a guaranteed share for each priority, start-time fair queueing between organisations, and the earliest deadline first within one.
package fair
