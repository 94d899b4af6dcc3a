// Package tree defines the settings that operators change at run time and checks a whole tree before it is accepted.
package tree
