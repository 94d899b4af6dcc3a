// Package opers implements the operators' subcommands, which call the operators' listeners of the hosts.
package opers
