package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

const (
	nonceBytes = 32
	// handshakeTimeout is many round trips; a host that freezes meanwhile must not hold its callers up.
	handshakeTimeout = time.Second
	clientLabel      = "cyclamenford client 1"
	serverLabel      = "cyclamenford server 1"
)

// ErrKey means that the other side does not hold the deployment's key.
var ErrKey = errors.New("the peer does not hold the deployment's key")

func proof(key []byte, label string, theirs, ours []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(label))
	mac.Write(theirs)
	mac.Write(ours)
	return mac.Sum(nil)
}

// greetServer proves the key to a server and checks the server's proof.
func greetServer(conn net.Conn, key []byte) error {
	return handshake(conn, key, clientLabel, serverLabel)
}

// greetClient proves the key to a client and checks the client's proof.
func greetClient(conn net.Conn, key []byte) error {
	return handshake(conn, key, serverLabel, clientLabel)
}

func handshake(conn net.Conn, key []byte, ownLabel, otherLabel string) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	own := make([]byte, nonceBytes)
	if _, err := rand.Read(own); err != nil {
		return fmt.Errorf("make nonce: %w", err)
	}
	other := make([]byte, nonceBytes)
	if err := exchange(conn, own, other); err != nil {
		return fmt.Errorf("exchange nonces: %w", err)
	}
	theirs := make([]byte, sha256.Size)
	if err := exchange(conn, proof(key, ownLabel, other, own), theirs); err != nil {
		return fmt.Errorf("exchange proofs: %w", err)
	}
	if !hmac.Equal(theirs, proof(key, otherLabel, own, other)) {
		return ErrKey
	}
	return conn.SetDeadline(time.Time{})
}

func exchange(conn net.Conn, out, in []byte) error {
	if _, err := conn.Write(out); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, in)
	return err
}
