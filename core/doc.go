// Package core holds the value types, identifiers and interfaces that every decision and every shell shares.
package core
