// Package plan estimates stage durations from observations and computes by when a stage must start to meet a request's
// deadline.
package plan
