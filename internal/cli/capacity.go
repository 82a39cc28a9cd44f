package cli

import (
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/internal/capacity"
)

func init() { register(addCapacity) }

// addCapacity adds "capacity measure" and "capacity page".
func addCapacity(app *kingpin.Application, g *globals) {
	cmd := app.Command("capacity", "Measure the resource costs of the components and derive the size of a deployment.")
	addCapacityPage(cmd)
	var out string
	var only []string
	measure := cmd.Command("measure", "Measure costs per unit of load (slopes) on this machine; takes a few minutes.")
	measure.Flag("out", "File to write, in JSON.").Required().StringVar(&out)
	measure.Flag("only", "Measure only this group again and keep the rest of the file; may be repeated.").
		EnumsVar(&only, capacity.Groups()...)
	measure.Action(action(func() error {
		m := &capacity.Measurements{}
		if len(only) > 0 {
			var err error
			if m, err = capacity.ReadFile(out); err != nil {
				return err
			}
		}
		if err := capacity.Run(g.ctx, g.stderr, m, only); err != nil {
			return err
		}
		return m.WriteFile(out)
	}))
}

// addCapacityPage adds the command that renders the tables of a measured file into
// the capacity page.
func addCapacityPage(parent *kingpin.CmdClause) {
	cmd := parent.Command("page", "Replace the tables between the markers of a page by those of a measured file.")
	measured := cmd.Flag("measured", "File that \"capacity measure\" wrote.").Required().String()
	page := cmd.Flag("page", "Page to update.").Required().String()
	cmd.Action(action(func() error {
		m, err := capacity.ReadFile(*measured)
		if err != nil {
			return err
		}
		old, err := os.ReadFile(*page)
		if err != nil {
			return errors.Wrap(err, "read page")
		}
		text, err := capacity.Render(string(old), m)
		if err != nil {
			return err
		}
		return errors.Wrap(os.WriteFile(*page, []byte(text), 0o644), "write page")
	}))
}
