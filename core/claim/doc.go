// Package claim divides a pool's slots between hosts in proportion to the load that callers offer to each host.
package claim
