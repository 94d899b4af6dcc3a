// Package reach decides whether a host connects to endpoints directly or through another host, the carrier, and through which one.
package reach
