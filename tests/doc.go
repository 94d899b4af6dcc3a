// Package tests holds the scenarios that run real processes behind faults, each in its data file.
package tests
