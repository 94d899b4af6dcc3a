// Package entry is the HTTP front end of an entry host. It accepts clients' requests, obtains an endpoint for each of them
// from the scheduler or from its own copy of the roll, forwards the request and returns the endpoint's answer. It retries
// an attempt that failed where the request allows that.
package entry
