// Package flow executes admitted requests. It runs the stages of a pipeline in sequence with retries and hedges,
// forwards streams and resumes them, and runs non-repeatable calls at most once by means of the idempotency ledger.
package flow
