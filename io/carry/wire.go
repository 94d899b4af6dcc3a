package carry

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"time"
)

// status is the byte with which a carrier answers.
type status byte

const (
	connected status = iota + 1
	// refusedByEndpoint means that the machine of the endpoint has refused the connection.
	refusedByEndpoint
	unreachable
	// notCarrying answers a host that has not asked for a marked end. A carrier of a release without marks answers so to one that has.
	notCarrying
	// declined is notCarrying for a host that has asked for a marked end.
	declined
)

// framing is how the carrier sends what it receives from the endpoint, as the host has asked for it.
type framing int

const (
	// raw sends bytes as they are, so that the end of the connection proves nothing. Releases without marks know no other.
	raw framing = iota
	// marked sends frames, and a mark once the endpoint has ended the connection in order.
	marked
)

const (
	// markedPrefix precedes the address in a request for marks. No address begins with it.
	markedPrefix = 1
	// frameHeaderBytes is the size of the length in front of a frame, and endBytes that of the mark: an empty frame and a count of bytes.
	frameHeaderBytes = 2
	countBytes       = 8
	endBytes         = frameHeaderBytes + countBytes
	// exchangeTimeout limits the reading of the address, which is sent with the handshake.
	exchangeTimeout = time.Second
	maxTextBytes    = 255
	// endpointReset in the place of the count means that the endpoint has reset the connection.
	endpointReset = math.MaxUint64
)

var errLongAddress = errors.New("the address is too long")

// writeRequest asks for a connection to the endpoint at an address.
func writeRequest(w io.Writer, f framing, address string) error {
	text := []byte(address)
	if f == marked {
		text = append([]byte{markedPrefix}, text...)
	}
	if len(text) > maxTextBytes {
		return fmt.Errorf("%w: %d bytes", errLongAddress, len(address))
	}
	_, err := w.Write(append([]byte{byte(len(text))}, text...))
	return err
}

// readRequest reads what a host asks for.
func readRequest(conn net.Conn) (framing, string, error) {
	if err := conn.SetReadDeadline(time.Now().Add(exchangeTimeout)); err != nil {
		return raw, "", err
	}
	length := make([]byte, 1)
	if _, err := io.ReadFull(conn, length); err != nil {
		return raw, "", err
	}
	text := make([]byte, length[0])
	if _, err := io.ReadFull(conn, text); err != nil {
		return raw, "", err
	}
	f := raw
	if len(text) > 0 && text[0] == markedPrefix {
		f, text = marked, text[1:]
	}
	return f, string(text), conn.SetReadDeadline(time.Time{})
}

// endMark returns the mark of an end in order, whose endpoint has received the given number of bytes, or that of endpointReset.
func endMark(received uint64) []byte {
	return binary.BigEndian.AppendUint64(make([]byte, frameHeaderBytes, endBytes), received)
}
