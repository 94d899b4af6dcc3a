// Package io declares the interfaces and types shared by its subpackages, which perform the network and disk I/O around
// the decision logic in core: Control for the replicated control state and Dialect for the HTTP protocol of a
// deployment.
package io
