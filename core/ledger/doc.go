// Package ledger records non-repeatable calls by idempotency key, so that each runs at most once and a resent call gets
// the answer of the first.
package ledger
