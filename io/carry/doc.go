// Package carry opens connections to endpoints, through another host where this one has no link to them, and carries connections of such hosts.
package carry
