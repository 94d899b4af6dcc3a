// Package tries holds what every attempt at an endpoint shares: grants, trials of suspects, blame for crashes, and the recording of outcomes.
package tries
