// Package follow keeps a host's copy of the published control state and its serving lease, and carries its commands to the leader.
package follow
