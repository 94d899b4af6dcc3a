// Package disk keeps a keeper's log, votes and snapshots under one data folder, synced before it returns.
package disk
