// Package watch records what callers, operators and endpoints see of a deployment, and checks the promises against it.
package watch
