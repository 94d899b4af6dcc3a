// Package share spreads endpoints' announcements and hosts' work between the hosts.
package share
