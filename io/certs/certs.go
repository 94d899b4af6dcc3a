package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// ErrNoCertificate reports that an authority file contains no certificate.
var ErrNoCertificate = errors.New("no certificate found")

// checkInterval is the minimum time between two checks of the file's modification time. Checks happen during handshakes.
const checkInterval = time.Second

// Files holds the paths of a certificate's PEM files.
type Files struct {
	Certificate string
	Key         string
	// Authority is the file with the certificates of the authorities that sign the peer's certificate. If it is empty,
	// a client trusts the system's authorities and a server requests no client certificates.
	Authority string
}

// Configured reports whether a certificate is configured.
func (f Files) Configured() bool {
	return f.Certificate != ""
}

// Source provides a certificate and reloads it when its file changes.
type Source struct {
	files Files

	mu        sync.Mutex
	current   *tls.Certificate
	loadedAt  time.Time
	checkedAt time.Time
}

// New loads the certificate. An error names the file that could not be loaded.
func New(f Files) (*Source, error) {
	s := &Source{files: f}
	if err := s.load(time.Now()); err != nil {
		return nil, err
	}
	return s, nil
}

// load reads the certificate and key and records the time.
func (s *Source) load(now time.Time) error {
	pair, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return fmt.Errorf("load certificate %s: %w", s.files.Certificate, err)
	}
	s.current, s.loadedAt, s.checkedAt = &pair, now, now
	return nil
}

// certificate returns the current certificate after reloading it if its file has changed. If the new file is invalid,
// the previous certificate remains in use.
func (s *Source) certificate() (*tls.Certificate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.checkedAt) < checkInterval {
		return s.current, nil
	}
	s.checkedAt = now
	info, err := os.Stat(s.files.Certificate)
	if err == nil && info.ModTime().After(s.loadedAt) {
		_ = s.load(now)
	}
	return s.current, nil
}

// ServerConfig returns the TLS configuration for a listener. If an authority is configured, clients must present a
// certificate signed by it.
func (s *Source) ServerConfig() (*tls.Config, error) {
	c := &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.certificate() },
	}
	if s.files.Authority == "" {
		return c, nil
	}
	pool, err := s.authorityPool()
	if err != nil {
		return nil, err
	}
	c.ClientCAs = pool
	c.ClientAuth = tls.RequireAndVerifyClientCert
	return c, nil
}

// ClientConfig returns the TLS configuration for outgoing connections.
func (s *Source) ClientConfig() (*tls.Config, error) {
	c := &tls.Config{
		MinVersion:           tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return s.certificate() },
	}
	if s.files.Authority == "" {
		return c, nil
	}
	pool, err := s.authorityPool()
	if err != nil {
		return nil, err
	}
	c.RootCAs = pool
	return c, nil
}

// authorityPool loads the certificates of the authority file.
func (s *Source) authorityPool() (*x509.CertPool, error) {
	pem, err := os.ReadFile(s.files.Authority)
	if err != nil {
		return nil, fmt.Errorf("load authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("load authority %s: %w", s.files.Authority, ErrNoCertificate)
	}
	return pool, nil
}

// NewClientConfig returns the TLS configuration for a client program, with a client certificate if one is configured. It
// returns nil if neither a certificate nor an authority is configured.
func NewClientConfig(f Files) (*tls.Config, error) {
	if f.Configured() {
		s, err := New(f)
		if err != nil {
			return nil, err
		}
		return s.ClientConfig()
	}
	if f.Authority == "" {
		return nil, nil
	}
	pool, err := (&Source{files: f}).authorityPool()
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}, nil
}
