// Package admin is the HTTP API for operators: settings, status, drains, orders and quarantine.
package admin
