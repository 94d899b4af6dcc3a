// Package logs writes log lines in the background within a rate, so that logging never holds work up.
package logs
