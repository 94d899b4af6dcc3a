// Package origin records at which software version streams began, so that any host can continue a stream at that version only.
package origin
