// Package equip holds the subcommands of the test equipment: stand-ins, examples, load and slopes.
package equip
