// Package kernel is the service registry of a process. It starts services in the order of their dependencies and stops
// them in reverse.
package kernel
