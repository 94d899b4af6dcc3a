// Package lease tracks the serving leases that the leader of the control state has granted to hosts.
package lease
