// Package guard quarantines requests that crash endpoints. Every program that sends requests to endpoints uses it.
//
// The replicated state records the suspected requests (see core/poison). A program calls Admit before it sends a request to
// an endpoint, reports every attempt whose connection was cut, and ends the trials that Admit has begun.
package guard
