// Command lycheekeel is the operators' tool: it applies configuration, shows
// the state of a cluster, drains daemons, analyzes logs, and runs demonstrations,
// load tests and experiments.
package main

import (
	"os"

	"github.com/lycheekeel/lycheekeel/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
