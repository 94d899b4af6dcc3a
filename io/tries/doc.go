// Package tries implements the steps that every attempt at an endpoint shares: acquiring a grant, running trials of
// suspected requests, counting crashes against requests, and recording outcomes.
package tries
