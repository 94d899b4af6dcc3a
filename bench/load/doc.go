// Package load sends open-loop load from a scenario file and reports what callers got.
package load
