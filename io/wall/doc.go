// Package wall provides the machine's monotonic and wall clocks.
package wall
