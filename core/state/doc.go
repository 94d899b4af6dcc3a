// Package state implements the replicated control state: a deterministic state machine that applies committed commands,
// and the published image that every host replicates.
package state
