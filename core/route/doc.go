// Package route chooses the endpoint for a piece of work from late load reports, cache events, nearness and observed speed.
package route
