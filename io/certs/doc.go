// Package certs loads TLS certificates and reloads them when their files change.
package certs
