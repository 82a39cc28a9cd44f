// Package examples embeds the shipped example configurations: punchline, which
// serves the report writing of a defect-tracking app in Colombo, and bang-xanh,
// which serves a substitute-teacher desk for schools in Ho Chi Minh City.
// `lycheekeel apply -f examples/punchline` reads the same files, and the demo
// starts from them.
package examples

import (
	"embed"
	"path"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/workspace"
)

//go:embed punchline/*.json bang-xanh/*.json
var files embed.FS

// Names of the examples.
const (
	Punchline = "punchline"
	BangXanh  = "bang-xanh"
)

// Names returns the names of all examples.
func Names() []string { return []string{Punchline, BangXanh} }

// Documents returns every object of an example. It returns an error if the
// example is unknown or if one of its files has findings.
func Documents(name string) ([]workspace.Document, error) {
	entries, err := files.ReadDir(name)
	if err != nil {
		return nil, errors.Wrapf(err, "example %q", name)
	}
	var docs []workspace.Document
	var findings workspace.Findings
	for _, e := range entries {
		file := path.Join(name, e.Name())
		data, err := files.ReadFile(file)
		if err != nil {
			return nil, errors.Wrapf(err, "example file %q", file)
		}
		d, f := workspace.ParseFile(file, data)
		docs, findings = append(docs, d...), append(findings, f...)
	}
	return docs, findings.Err()
}

// Templates returns an example's templates.
func Templates(name string) ([]workspace.Template, error) {
	return ofType[workspace.Template](name)
}

// Workspaces returns an example's workspaces. The bearer key of each one is
// "change-me-" followed by its name.
func Workspaces(name string) ([]workspace.Workspace, error) {
	return ofType[workspace.Workspace](name)
}

// Objects returns an example's objects in their stored form. Versions are
// assigned from 1 in the order of the files.
func Objects(name string) ([]objectstore.Object, error) {
	docs, err := Documents(name)
	if err != nil {
		return nil, err
	}
	out := make([]objectstore.Object, 0, len(docs))
	for i, d := range docs {
		value, err := d.Value()
		if err != nil {
			return nil, errors.Wrapf(err, "%s %q", d.Kind, d.Name)
		}
		version := objectstore.Version(i + 1)
		out = append(out, objectstore.Object{Kind: d.Kind, Name: d.Name, Version: version, Created: version, Value: value})
	}
	return out, nil
}

// ofType returns an example's objects of one type.
func ofType[T any](name string) ([]T, error) {
	docs, err := Documents(name)
	if err != nil {
		return nil, err
	}
	var out []T
	for _, d := range docs {
		if object, ok := d.Object.(*T); ok {
			out = append(out, *object)
		}
	}
	return out, nil
}
