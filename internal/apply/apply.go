// Package apply writes configuration files to the object API. It parses and
// checks all files, computes the difference to the stored objects, and writes
// each object on the condition that it still has the version shown to the
// operator.
package apply

import (
	"cmp"
	"context"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// fileSuffix is the suffix of the files that are read from a directory.
const fileSuffix = ".json"

// Load reads configuration files, and all JSON files under directories. It
// returns the documents without findings, and every finding. The error is about a
// path that cannot be read.
func Load(paths []string) ([]workspace.Document, workspace.Findings, error) {
	var docs []workspace.Document
	var findings workspace.Findings
	files, err := findFiles(paths)
	if err != nil {
		return nil, nil, err
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, nil, errors.Wrap(err, "read configuration")
		}
		d, f := workspace.ParseFile(file, data)
		docs, findings = append(docs, d...), append(findings, f...)
	}
	return docs, findings, nil
}

// findFiles replaces each directory by the JSON files under it, in lexical order.
func findFiles(paths []string) ([]string, error) {
	var out []string
	for _, path := range paths {
		before := len(out)
		err := filepath.WalkDir(path, func(p string, d fs.DirEntry, err error) error {
			if err == nil && !d.IsDir() && (p == path || strings.HasSuffix(p, fileSuffix)) {
				out = append(out, p)
			}
			return err
		})
		if err != nil {
			return nil, errors.Wrap(err, "read configuration")
		}
		if len(out) == before {
			return nil, errors.Errorf("%s contains no %s files", path, fileSuffix)
		}
	}
	return out, nil
}

// Read returns all stored configuration objects, assignments included.
func Read(ctx context.Context, api objectstore.ObjectAPI) ([]objectstore.Object, error) {
	var out []objectstore.Object
	for _, kind := range workspace.Kinds() {
		list, err := api.List(ctx, kind, "")
		if err != nil {
			return nil, errors.Wrapf(err, "list %s", kind)
		}
		out = append(out, list.Objects...)
	}
	return out, nil
}

// Action is the operation of a Change.
type Action string

// Actions of a Change.
const (
	Create    Action = "create"
	Update    Action = "update"
	Delete    Action = "delete"
	Unchanged Action = "unchanged"
)

// Change is the difference between the wanted and the stored version of an
// object.
type Change struct {
	Kind   objectstore.Kind `json:"kind"`
	Name   string           `json:"name"`
	Action Action           `json:"action"`
	// Version is the stored version that the change was computed from; 0 means
	// none.
	Version objectstore.Version `json:"version"`
	Fields  []FieldChange       `json:"fields,omitempty"`

	oldValue, newValue []byte
}

// Ref identifies an object.
type Ref struct {
	Kind objectstore.Kind
	Name string
}

// writeOrder orders kinds so that an object is written after those it refers to.
var writeOrder = map[objectstore.Kind]int{
	workspace.KindPool: 0, workspace.KindBackendServer: 1, workspace.KindTemplate: 2, workspace.KindWorkspace: 3,
}

// Plan returns the changes that documents and deletions make, in the order in
// which to write them. It returns a *ConflictError if a document expects another
// version than the stored one.
func Plan(docs []workspace.Document, deletions []Ref, stored []objectstore.Object) ([]Change, error) {
	storedByRef := make(map[Ref]objectstore.Object, len(stored))
	for _, o := range stored {
		storedByRef[Ref{o.Kind, o.Name}] = o
	}
	changes := make([]Change, 0, len(docs)+len(deletions))
	for _, d := range docs {
		c, err := planDocument(d, storedByRef[Ref{d.Kind, d.Name}])
		if err != nil {
			return nil, err
		}
		changes = append(changes, c)
	}
	slices.SortStableFunc(changes, func(a, b Change) int {
		return cmp.Compare(writeOrder[a.Kind], writeOrder[b.Kind])
	})
	for _, ref := range deletions {
		o, ok := storedByRef[ref]
		if !ok {
			return nil, errors.Wrapf(objectstore.ErrNotFound, "delete %s/%s", ref.Kind, ref.Name)
		}
		changes = append(changes, Change{
			Kind: ref.Kind, Name: ref.Name, Action: Delete, Version: o.Version,
			Fields: Diff(o.Value, nil), oldValue: o.Value,
		})
	}
	return changes, nil
}

// planDocument compares a document with the stored object, whose version is 0 if
// there is none.
func planDocument(d workspace.Document, stored objectstore.Object) (Change, error) {
	value, err := d.Value()
	if err != nil {
		return Change{}, errors.Wrapf(err, "%s/%s", d.Kind, d.Name)
	}
	c := Change{
		Kind: d.Kind, Name: d.Name, Action: Update, Version: stored.Version,
		Fields: Diff(stored.Value, value), oldValue: stored.Value, newValue: value,
	}
	switch {
	case d.ExpectVersion != 0 && d.ExpectVersion != stored.Version:
		return c, &ConflictError{
			Ref: Ref{d.Kind, d.Name}, Expected: d.ExpectVersion, Found: stored.Version, Theirs: Diff(value, stored.Value),
		}
	case stored.Version == 0:
		c.Action = Create
	case len(c.Fields) == 0:
		c.Action = Unchanged
	}
	return c, nil
}

// Check checks documents and deletions against the stored objects.
func Check(docs []workspace.Document, deletions []Ref, stored []objectstore.Object) workspace.Findings {
	remaining := slices.DeleteFunc(slices.Clone(stored), func(o objectstore.Object) bool {
		return slices.Contains(deletions, Ref{o.Kind, o.Name})
	})
	findings := workspace.CheckDocuments(docs, remaining)
	_, before := workspace.Compile(stored)
	for i, f := range findings {
		// Problems that exist already do not block an unrelated change.
		if slices.Contains(before, f) {
			findings[i].Warning = true
		}
	}
	return findings
}

// Recheck reads the stored objects after an apply and returns the fatal findings
// that did not exist before.
//
// Each write is conditional only on its own object. If two operators change a
// template and one of its workspaces at the same time, both writes succeed
// although the results may not fit together. Without Recheck neither operator
// would be told.
func Recheck(ctx context.Context, api objectstore.ObjectAPI, before []objectstore.Object) (workspace.Findings, error) {
	now, err := Read(ctx, api)
	if err != nil {
		return nil, err
	}
	_, known := workspace.Compile(before)
	_, findings := workspace.Compile(now)
	return slices.DeleteFunc(findings.Fatal(), func(f workspace.Finding) bool {
		return slices.Contains(known, f)
	}), nil
}
