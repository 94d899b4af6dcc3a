// Package fleet tracks the endpoints of each service for the scheduler: their availability, load, slowdown, failure
// rate and cached prompts.
package fleet
