// Package drain decides which requests a stopping host still sends to endpoints and which it leaves to other hosts.
package drain
