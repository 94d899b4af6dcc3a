// Package setup reads a host's settings file and wires the host's services with the kernel.
package setup
