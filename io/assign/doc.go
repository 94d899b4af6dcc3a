// Package assign runs the scheduler on the keeper that leads: it knows the endpoints, answers the entry hosts and calls the stages.
package assign
