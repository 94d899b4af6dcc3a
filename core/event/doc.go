// Package event parses the events of a stream that an endpoint generates, and checks their order.
package event
