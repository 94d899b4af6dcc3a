// Package oper is an HTTP client for the operators' API (package admin).
package oper
