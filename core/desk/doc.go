// Package desk is the per-host scheduler. It combines endpoint membership, request queues, endpoint selection,
// team limits and retry budgets. It does no I/O.
package desk
