// Package admin is the operators' HTTP interface: settings, status, drains, orders and quarantine.
package admin
