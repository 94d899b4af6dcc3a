// Package claim divides a pool's slots between the hosts by what callers ask of each host.
package claim
