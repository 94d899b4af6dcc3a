// Package wall holds the clock of the machine.
package wall
