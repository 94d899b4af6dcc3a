// Package pool decides, for the endpoints that can do the same work, what waits, what runs where and what is refused.
package pool
