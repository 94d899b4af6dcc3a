// Package listen runs an HTTP server on one address, with or without TLS, as a service with Start and Stop.
package listen
