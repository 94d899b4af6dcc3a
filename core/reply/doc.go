// Package reply decides whether an endpoint's answer is the one that its request is due.
package reply
