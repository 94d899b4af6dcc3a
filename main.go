// Command cyclamenford serves multi-stage model pipelines; see README.md.
package main

import (
	"os"

	"cyclamenford/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args, os.Stdout, os.Stderr))
}
