// Package front is the callers' HTTP interface: it checks who calls, admits requests, and writes answers, streams and problem documents.
package front
