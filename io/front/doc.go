// Package front is the HTTP API for callers. It authenticates and admits requests, passes them to package flow, and writes
// answers, event streams and problem documents.
package front
