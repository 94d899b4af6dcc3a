// Package loop runs a function again and again in the background, as a service.
package loop
