package site

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// The range of ports lies below the one that the kernel gives to outgoing connections.
const (
	firstPort = 12_000
	lastPort  = 31_000
	portTries = 500
)

// errNoPort means that no free port was found.
var errNoPort = errors.New("no free port found")

var (
	givenMu sync.Mutex
	given   = map[string]bool{}
)

// FreeAddress returns an address of the IP with a port that nothing listens on and that was not given out before.
func FreeAddress(ip string) (string, error) {
	givenMu.Lock()
	defer givenMu.Unlock()
	for range portTries {
		address := fmt.Sprintf("%s:%d", ip, firstPort+rand.IntN(lastPort-firstPort))
		if given[address] {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			return "", fmt.Errorf("close probe listener: %w", err)
		}
		given[address] = true
		return address, nil
	}
	return "", errNoPort
}
