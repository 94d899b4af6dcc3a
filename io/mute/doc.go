// Package mute bounds the log lines about statements from outside that are repeated with every message.
package mute
