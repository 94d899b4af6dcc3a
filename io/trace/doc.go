// Package trace runs the configured OpenTelemetry exporter, creates spans, and propagates span contexts in HTTP headers.
package trace
