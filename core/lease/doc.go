// Package lease tracks the serving leases that the leading keeper has granted to hosts, which revisions the hosts have applied, and
// how long a host may serve by the configuration that it has in force.
package lease
