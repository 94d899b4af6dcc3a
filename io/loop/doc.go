// Package loop runs a function periodically as a background service, and counts background work.
package loop
