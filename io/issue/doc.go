// Package issue sends durable orders to endpoints. Only the leading keeper sends, while it holds a valid lease.
package issue
