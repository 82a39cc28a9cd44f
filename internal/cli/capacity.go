package cli

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/lycheekeel/lycheekeel/internal/capacity"
)

func init() { register(registerCapacity) }

// registerCapacity adds "capacity measure" and "capacity page".
func registerCapacity(app *kingpin.Application, g *globals) {
	cmd := app.Command("capacity", "Measure what the parts cost, and work out a deployment from it.")
	var out string
	measure := cmd.Command("measure", "Measure the slopes on this machine; takes a few minutes.")
	measure.Flag("out", "File to write, in JSON.").Required().StringVar(&out)
	measure.Action(func(*kingpin.ParseContext) error {
		m, err := capacity.Run(g.ctx, g.stderr)
		if err != nil {
			return err
		}
		return m.WriteFile(out)
	})
}
