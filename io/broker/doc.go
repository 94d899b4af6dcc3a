// Package broker feeds a host's events to its decisions under a lock and hands the actions to the waiting requests.
package broker
