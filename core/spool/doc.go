// Package spool accounts for the memory that answers to slow clients take, and decides which answer ends when it is used up.
package spool
