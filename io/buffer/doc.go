// Package buffer holds the parts of answers that slow clients have not read yet, within the budget of core/spool.
package buffer
