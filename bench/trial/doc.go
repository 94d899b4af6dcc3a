// Package trial drives the real decisions in virtual time over fake endpoints and callers, and a plain baseline beside them.
package trial
