// Package oper is a client of the operators' interface.
package oper
