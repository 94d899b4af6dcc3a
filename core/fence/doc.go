// Package fence plans which orders to endpoints may be sent now, so that a former issuer's order cannot take effect after
// a newer issuer's.
package fence
