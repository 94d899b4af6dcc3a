// Package follow keeps a host's copy of the published control state up to date, renews the host's serving lease and
// sends the host's commands and queries to the leading keeper.
package follow
