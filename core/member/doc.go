// Package member decides which endpoints are alive from their announcements, renewals and goodbyes.
package member
