// Package meter collects the metrics of the process and writes them as plain text.
package meter
