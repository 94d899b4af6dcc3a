package dial

import (
	"errors"
	"syscall"
)

// refusedConnection reports whether no process listens at the address, or it has just ended.
func refusedConnection(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}
