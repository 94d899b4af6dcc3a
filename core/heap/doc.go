// Package heap implements a binary heap whose elements store their own positions, so that any element can be removed.
package heap
