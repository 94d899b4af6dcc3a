// Package desk is the host's one place of decisions: it feeds events to the pure decisions under a lock and hands their actions to the waiting requests.
package desk
