// Package head checks the heads of HTTP/1.1 answers as endpoints have sent them.
package head
