// Package cmds implements the subcommands of the program: the daemon, the operators' client, the callers' client and
// the test equipment.
package cmds
