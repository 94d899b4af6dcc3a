// Package sock creates TCP connections that fail soon after the other side stops responding.
package sock
