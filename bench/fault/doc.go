// Package fault runs hosts as real processes and breaks them from outside: by signals, through a proxy, and in their data folders.
package fault
