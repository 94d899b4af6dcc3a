// Package brittle decides when endpoints that fall over after too many refusals are held back.
package brittle
