// Package record commits commands to the control state, with retries until each is committed.
package record
