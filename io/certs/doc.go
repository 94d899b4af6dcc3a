// Package certs builds TLS configurations from PEM files and reloads certificates when their files change.
package certs
