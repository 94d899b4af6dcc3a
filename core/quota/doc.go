// Package quota keeps each team's limits over all hosts together, from the usage that hosts exchange.
package quota
