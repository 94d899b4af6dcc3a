// Package opers holds the operators' subcommands.
package opers
