// Package speed estimates how fast endpoints work from their answers and from the load reports in them.
package speed
