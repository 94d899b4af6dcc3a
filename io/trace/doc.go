// Package trace starts the OpenTelemetry exporter that the settings name and carries span contexts between hosts.
package trace
