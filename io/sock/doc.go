// Package sock makes TCP connections that notice a peer which has gone silent.
package sock
