// Package roll publishes endpoints to hosts that choose among them by themselves, as changes under a version.
package roll
