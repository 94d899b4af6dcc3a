// Package term provides helpers that the subcommands share: arguments, TLS flags, tables and JSON output.
package term
