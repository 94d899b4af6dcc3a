// Package keeper runs one member of the replicated log that holds the control state. It drives the consensus node,
// persists its output, exchanges messages with the other keepers and serves the RPCs of the hosts.
package keeper
