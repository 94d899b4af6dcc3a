// Package entry takes clients' requests in, has them placed, and carries them to endpoints and their answers back.
package entry
