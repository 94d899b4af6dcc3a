// Package route selects the endpoint for a request, by delayed load reports, prompt cache contents, failure domain and
// observed speed.
package route
