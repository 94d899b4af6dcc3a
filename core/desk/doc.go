// Package desk joins the decisions of one host: which endpoints are alive, what waits, what runs where, what is refused, limits, and retries.
package desk
