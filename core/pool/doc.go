// Package pool queues one host's requests for a group of equivalent endpoints, and dispatches or refuses them.
package pool
