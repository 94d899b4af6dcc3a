// Package fence decides which orders to endpoints may be sent now, so that an old issuer cannot undo a newer one's.
package fence
