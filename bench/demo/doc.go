// Package demo shows each promise on a whole deployment inside one process.
package demo
