// Package story builds the timeline of one request from the logs of all hosts, including the host and endpoint events
// around it.
package story
