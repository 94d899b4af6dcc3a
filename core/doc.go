// Package core defines the value types, identifiers and interfaces that the decision logic in its subfolders and the
// packages that do I/O share.
package core
