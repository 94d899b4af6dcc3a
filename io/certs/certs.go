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

// ErrAuthority means that a file holds no certificate of an authority.
var ErrAuthority = errors.New("no certificate found")

// checkEvery is how often the files' times are compared, at a handshake.
const checkEvery = time.Second

// Files names the PEM files of one certificate.
type Files struct {
	Certificate string
	Key         string
	// Authority signs the other side's certificates; empty means the machine's authorities.
	Authority string
}

// Set reports whether a certificate is configured.
func (f Files) Set() bool {
	return f.Certificate != ""
}

// Source hands out the newest certificate.
type Source struct {
	files Files

	mu      sync.Mutex
	current *tls.Certificate
	loaded  time.Time
	checked time.Time
}

// New loads the certificate, or says which file is bad.
func New(f Files) (*Source, error) {
	s := &Source{files: f}
	if err := s.load(time.Now()); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Source) load(now time.Time) error {
	pair, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return fmt.Errorf("load certificate %s: %w", s.files.Certificate, err)
	}
	s.current, s.loaded, s.checked = &pair, now, now
	return nil
}

// certificate returns the newest certificate; a bad new file leaves the old one in use.
func (s *Source) certificate() (*tls.Certificate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.checked) < checkEvery {
		return s.current, nil
	}
	s.checked = now
	info, err := os.Stat(s.files.Certificate)
	if err == nil && info.ModTime().After(s.loaded) {
		_ = s.load(now)
	}
	return s.current, nil
}

// Server returns settings for a listener; with an authority it demands certificates from clients.
func (s *Source) Server() (*tls.Config, error) {
	c := &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.certificate() },
	}
	if s.files.Authority == "" {
		return c, nil
	}
	pool, err := s.pool()
	if err != nil {
		return nil, err
	}
	c.ClientCAs = pool
	c.ClientAuth = tls.RequireAndVerifyClientCert
	return c, nil
}

// Client returns settings for outgoing connections.
func (s *Source) Client() (*tls.Config, error) {
	c := &tls.Config{
		MinVersion:           tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return s.certificate() },
	}
	if s.files.Authority == "" {
		return c, nil
	}
	pool, err := s.pool()
	if err != nil {
		return nil, err
	}
	c.RootCAs = pool
	return c, nil
}

func (s *Source) pool() (*x509.CertPool, error) {
	pem, err := os.ReadFile(s.files.Authority)
	if err != nil {
		return nil, fmt.Errorf("load authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("load authority %s: %w", s.files.Authority, ErrAuthority)
	}
	return pool, nil
}

// CallerConfig returns settings for a client program: an authority alone, or with a certificate to show; nil without either.
func CallerConfig(f Files) (*tls.Config, error) {
	if f.Set() {
		s, err := New(f)
		if err != nil {
			return nil, err
		}
		return s.Client()
	}
	if f.Authority == "" {
		return nil, nil
	}
	pool, err := (&Source{files: f}).pool()
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}, nil
}
