// Package caller is a client of the callers' interface: it sends requests, reads streams and resumes them at another host.
package caller
