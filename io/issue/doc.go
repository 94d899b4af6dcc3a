// Package issue sends durable orders to endpoints from the one keeper that may.
package issue
