// Package greet takes endpoints' announcements over HTTP.
package greet
