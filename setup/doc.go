// Package setup reads and validates a host's settings file, and creates the host's services
// and registers them with the kernel.
package setup
