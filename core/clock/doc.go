// Package clock holds the manual clock that tests and virtual-time benches advance by hand.
package clock
