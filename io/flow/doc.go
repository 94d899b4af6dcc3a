// Package flow runs requests: the stages of a pipeline one after the other, streams, and plain calls that may not be repeated.
package flow
