// Package kernel registers services by name and starts and stops them in the order of their dependencies.
package kernel
