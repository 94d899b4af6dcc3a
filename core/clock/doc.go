// Package clock provides a manually advanced clock for tests and simulations.
package clock
