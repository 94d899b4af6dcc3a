// Package tree defines the settings that operators change at run time, decodes them from JSON and validates a whole tree
// before it is accepted.
package tree
