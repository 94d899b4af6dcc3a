// Package order holds what hosts ask of the scheduler and what it orders them to do.
package order
