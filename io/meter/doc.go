// Package meter holds the process's metrics and writes them as plain text.
package meter
