// Package repair decides how the membership of the control state is mended, one change at a time.
package repair
