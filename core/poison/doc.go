// Package poison identifies requests that crash the endpoints they run on. It records crashes by the content of the
// request, tests suspects in trials and quarantines the requests that crash endpoints.
package poison
