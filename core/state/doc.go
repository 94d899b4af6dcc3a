// Package state is the replicated control state: a deterministic machine that applies committed commands, and the published image that every host follows.
package state
