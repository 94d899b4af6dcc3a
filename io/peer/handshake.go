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
	// handshakeTimeout covers many round trips, and limits how long callers wait for a host that hangs during the
	// handshake.
	handshakeTimeout = time.Second
	clientLabel      = "cyclamenford client 1"
	serverLabel      = "cyclamenford server 1"
)

// ErrWrongKey means that the other side failed to prove that it holds the deployment's key.
var ErrWrongKey = errors.New("the peer does not hold the deployment's key")

// computeProof returns the HMAC of a side's label and both nonces. The labels differ, so that a proof cannot be sent
// back to its author.
func computeProof(key []byte, label string, theirs, ours []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(label))
	mac.Write(theirs)
	mac.Write(ours)
	return mac.Sum(nil)
}

// authenticateServer runs the client's side of the mutual key proof.
func authenticateServer(conn net.Conn, key []byte) error {
	return handshake(conn, key, clientLabel, serverLabel)
}

// authenticateClient runs the server's side of the mutual key proof.
func authenticateClient(conn net.Conn, key []byte) error {
	return handshake(conn, key, serverLabel, clientLabel)
}

// handshake exchanges nonces and then proofs, and returns ErrWrongKey if the other side's proof is wrong.
func handshake(conn net.Conn, key []byte, ownLabel, otherLabel string) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	own := make([]byte, nonceBytes)
	if _, err := rand.Read(own); err != nil {
		return fmt.Errorf("generate nonce: %w", err)
	}
	other := make([]byte, nonceBytes)
	if err := exchange(conn, own, other); err != nil {
		return fmt.Errorf("exchange nonces: %w", err)
	}
	theirs := make([]byte, sha256.Size)
	if err := exchange(conn, computeProof(key, ownLabel, other, own), theirs); err != nil {
		return fmt.Errorf("exchange proofs: %w", err)
	}
	if !hmac.Equal(theirs, computeProof(key, otherLabel, own, other)) {
		return ErrWrongKey
	}
	return conn.SetDeadline(time.Time{})
}

// exchange writes out and then fills in from the connection.
func exchange(conn net.Conn, out, in []byte) error {
	if _, err := conn.Write(out); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, in)
	return err
}
