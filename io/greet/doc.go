// Package greet is the HTTP server that receives endpoints' announcements.
package greet
