// Package limit holds the request rates that endpoints name in their answers, and issues the permits that keep all hosts
// together within them.
package limit
