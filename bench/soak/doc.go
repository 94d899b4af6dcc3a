// Package soak breaks a deployment of real processes at random times, by a seed, and checks its promises while it runs.
package soak
