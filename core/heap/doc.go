// Package heap holds a binary heap whose items know their position, so that any item can be removed.
package heap
