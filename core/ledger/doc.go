// Package ledger records non-repeatable calls by key, so that each runs at most once and a resend gets the first answer.
package ledger
