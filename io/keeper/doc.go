// Package keeper runs one member of the replicated control state: its loop, its disk, its messages and its answers to hosts.
package keeper
