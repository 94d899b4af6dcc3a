// Package slope measures what the control state costs at several sizes and fits a line, for docs/CAPACITY.md.
package slope
