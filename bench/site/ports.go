package site

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

// The range of ports lies below the one that the kernel gives to outgoing connections.
const (
	firstPort = 12000
	lastPort  = 31000
	portTries = 200
)

// errNoPort means that no free port was found.
var errNoPort = errors.New("no free port found")

// FreeAddress returns a loopback address with a port that nothing listens on.
func FreeAddress() (string, error) {
	for range portTries {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			return "", fmt.Errorf("close probe listener: %w", err)
		}
		return address, nil
	}
	return "", errNoPort
}
