package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/objectstore"
)

func init() { register(addGet) }

// addGet adds the command get.
func addGet(app *kingpin.Application, g *globals) {
	cmd := app.Command("get", "Show stored configuration; -o json prints it in the form that apply reads.")
	address := platformFlag(cmd)
	kind := cmd.Arg("kind", "Template, Workspace, Pool, BackendServer or Assignment.").Required().String()
	name := cmd.Arg("name", "Name of one object; without it, all objects of the kind.").String()
	cmd.Action(action(func() error {
		k, err := parseKind(*kind)
		if err != nil {
			return err
		}
		api, err := openPlatform(*address)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(g.ctx, configTimeout)
		defer cancel()
		objects, err := fetchObjects(ctx, api, k, *name)
		if err != nil {
			return withPlatformExit(err)
		}
		if g.output == outputJSON {
			return g.printObjects(objects, *name != "")
		}
		return g.printObjectTable(objects)
	}))
}

// fetchObjects fetches the named object, or all objects of a kind if name is empty.
func fetchObjects(ctx context.Context, api objectstore.ObjectAPI, kind objectstore.Kind, name string) ([]objectstore.Object, error) {
	if name == "" {
		list, err := api.List(ctx, kind, "")
		return list.Objects, err
	}
	o, err := api.Get(ctx, kind, name)
	if errors.Is(err, objectstore.ErrNotFound) {
		return nil, errors.Wrapf(err, "there is no %s %q; \"lycheekeel get %s\" lists all", kind, name, kind)
	}
	return []objectstore.Object{o}, err
}

// printObjects prints objects in the form that apply reads. Their expect_version
// makes it a conflict to apply the edited file after the stored object was changed.
func (g *globals) printObjects(objects []objectstore.Object, single bool) error {
	documents := make([]json.RawMessage, 0, len(objects))
	for _, o := range objects {
		d, err := objectDocument(o)
		if err != nil {
			return err
		}
		documents = append(documents, d)
	}
	if single {
		return g.printJSON(documents[0])
	}
	return g.printJSON(documents)
}

// objectDocument returns a stored object in the form of a configuration file.
func objectDocument(o objectstore.Object) (json.RawMessage, error) {
	header, err := json.Marshal(struct {
		Kind   objectstore.Kind    `json:"kind"`
		Expect objectstore.Version `json:"expect_version"`
	}{o.Kind, o.Version})
	if err != nil {
		return nil, err
	}
	if len(o.Value) < 2 || o.Value[0] != '{' || !json.Valid(o.Value) {
		return nil, errors.Errorf("%s/%s does not hold a JSON object", o.Kind, o.Name)
	}
	if string(o.Value) == "{}" {
		return header, nil
	}
	return fmt.Appendf(nil, "%s,%s", header[:len(header)-1], o.Value[1:]), nil
}

// printObjectTable prints a table of the objects' names, versions and sizes.
func (g *globals) printObjectTable(objects []objectstore.Object) error {
	rows := make([][]string, 0, len(objects))
	for _, o := range objects {
		rows = append(rows, []string{
			string(o.Kind), o.Name, strconv.FormatUint(uint64(o.Version), 10),
			strconv.FormatUint(uint64(o.Created), 10), strconv.Itoa(len(o.Value)),
		})
	}
	return g.printTable([]string{"kind", "name", "version", "created", "bytes"}, rows)
}
