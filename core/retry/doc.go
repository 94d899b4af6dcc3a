// Package retry bounds repeated work: a budget as a share of first attempts, and backoff with jitter.
package retry
