package term

import (
	"crypto/tls"
	"fmt"

	"github.com/urfave/cli/v3"

	"cyclamenford/io/certs"
)

// TLSFlags returns the TLS flags of client subcommands.
func TLSFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "Authority", Usage: "speak TLS with hosts whose certificates this PEM `FILE` signs"},
		&cli.StringFlag{Name: "Certificate", Usage: "the PEM `FILE` of the certificate to show"},
		&cli.StringFlag{Name: "CertificateKey", Usage: "the PEM `FILE` of the certificate's key"},
	}
}

// TLSConfig returns the TLS configuration for the files that the flags name, or nil for plain text.
func TLSConfig(c *cli.Command) (*tls.Config, error) {
	config, err := certs.NewClientConfig(certs.Files{
		Authority: c.String("Authority"), Certificate: c.String("Certificate"), Key: c.String("CertificateKey"),
	})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUsage, err)
	}
	return config, nil
}
