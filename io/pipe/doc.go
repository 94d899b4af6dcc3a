// Package pipe sends HTTP requests to endpoints and proves whether one that failed can have been read; it never resends.
package pipe
