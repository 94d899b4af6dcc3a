// Package equip implements the subcommands of the test equipment: stand-in endpoints, example deployments, load
// generation and the measurement of control costs.
package equip
