// Command cyclamenford routes requests for multi-stage model pipelines to endpoints; README.md describes its use.
package main

import (
	"os"

	"cyclamenford/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args, os.Stdout, os.Stderr))
}
