// Package quorum is a replicated log as a pure state machine: pre-vote, elections, quorum commit, read index, learners, one change of membership at a time, and snapshots in pieces.
package quorum
