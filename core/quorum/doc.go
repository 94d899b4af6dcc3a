// Package quorum implements a Raft-style replicated log as a state machine without I/O: pre-vote, leader election, quorum
// commit, read index, learners, single-member membership changes, leadership transfer and snapshots sent in chunks.
package quorum
