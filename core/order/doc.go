// Package order defines the requests that hosts send to the scheduler and the actions that it orders in return.
package order
