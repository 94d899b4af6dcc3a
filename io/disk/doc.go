// Package disk stores a keeper's write-ahead log, votes and snapshots in one data folder. Writes are synced before they
// return.
package disk
