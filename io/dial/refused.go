package dial

import (
	"errors"
	"syscall"
)

// isConnectionRefused reports whether no process listens at the address, or the listening process has just ended.
func isConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}
