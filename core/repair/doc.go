// Package repair chooses the membership changes that keep spare disks close to the log, replace lost keepers and keep the
// number of voters at its target, one change at a time.
package repair
