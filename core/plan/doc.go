// Package plan learns how long each stage takes and splits a request's deadline over its remaining stages.
package plan
