// Package share exchanges endpoints' announcements and each host's demand and usage between the hosts.
package share
