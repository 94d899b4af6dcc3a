// Package member tracks which endpoints are alive, by leases that their announcements renew and goodbyes end.
package member
