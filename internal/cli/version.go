package cli

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lycheekeel/lycheekeel/internal/version"
)

func init() { register(addVersion) }

// addVersion adds the command version.
func addVersion(app *kingpin.Application, g *globals) {
	cmd := app.Command("version", "Print the version.")
	cmd.Action(action(func() error {
		if g.output == outputJSON {
			return g.printJSON(version.Get())
		}
		v := version.Get()
		_, err := fmt.Fprintf(g.stdout, "lycheekeel %s (%s)\n", v.Version, v.Go)
		return err
	}))
}
