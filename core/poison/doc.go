// Package poison finds requests that crash the endpoints that run them, by the content of the request.
package poison
