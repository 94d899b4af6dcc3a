// Package assign runs the request scheduler on the leading keeper. It tracks the announced endpoints, answers the
// placement requests of entry hosts and calls the endpoints of the stages.
package assign
