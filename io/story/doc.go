// Package story collects from the logs of all hosts what happened to one request, and what changed around it.
package story
