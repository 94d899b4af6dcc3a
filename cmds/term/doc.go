// Package term holds what the subcommands share: arguments, tables and JSON output.
package term
