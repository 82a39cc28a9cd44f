package workspace

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/lycheekeel/lycheekeel/objectstore"
)

// Document is one object in a configuration file.
type Document struct {
	File string
	// Path is the object's JSON path in the file; empty if it is the whole file.
	Path string
	Kind objectstore.Kind
	Name string
	// ExpectVersion is the stored version that the file's author saw; 0 if the file
	// does not name one.
	ExpectVersion objectstore.Version
	// Object is a *Template, *Workspace, *Pool or *BackendServer.
	Object any
}

// Members of an object in a file that are not part of the stored object.
const (
	memberKind          = "kind"
	memberExpectVersion = "expect_version"
)

// operatorKinds are the kinds that operators write.
var operatorKinds = map[objectstore.Kind]bool{
	KindTemplate: true, KindWorkspace: true, KindPool: true, KindBackendServer: true,
}

// Value returns the stored form of the object: JSON with a fixed order of
// members.
func (d Document) Value() ([]byte, error) { return json.Marshal(d.Object) }

// ParseFile parses a configuration file: one object or a list of objects,
// {"kind": "Template", ...}. It returns the documents without findings, and every
// finding. Unlike in a stored object, an unknown member is fatal.
func ParseFile(file string, data []byte) ([]Document, Findings) {
	root, findings := parse(file, data)
	if findings != nil {
		return nil, findings
	}
	if root.kind != kindArray {
		d, f := parseDocument(file, "", root)
		return appendValid(nil, d, f), f
	}
	var out []Document
	for i, n := range root.items {
		d, f := parseDocument(file, fmt.Sprintf("[%d]", i), n)
		out = appendValid(out, d, f)
		findings = append(findings, f...)
	}
	return out, findings
}

// appendValid appends a document if it has no findings.
func appendValid(list []Document, d Document, f Findings) []Document {
	if f != nil {
		return list
	}
	return append(list, d)
}

// parseDocument parses one object of a file.
func parseDocument(file, path string, n *node) (Document, Findings) {
	d := Document{File: file, Path: path}
	var findings Findings
	if n.kind != kindObject {
		findings.Add(file, path, "want an object, not %s", n.kind)
		return d, findings
	}
	kind, ok := n.get(memberKind)
	if !ok || kind.kind != kindString {
		findings.Add(file, joinPath(path, memberKind), "missing: want one of Template, Workspace, Pool, BackendServer")
		return d, findings
	}
	_ = json.Unmarshal(kind.raw, &d.Kind)
	if !operatorKinds[d.Kind] {
		findings.Add(file, joinPath(path, memberKind), "%q is not one of Template, Workspace, Pool, BackendServer", d.Kind)
		return d, findings
	}
	if expect, ok := n.get(memberExpectVersion); ok {
		v, err := strconv.ParseUint(string(expect.raw), 10, 64)
		if err != nil {
			findings.Add(file, joinPath(path, memberExpectVersion), "want a version, as shown by \"lycheekeel get\"")
		}
		d.ExpectVersion = objectstore.Version(v)
	}
	object, f := decodeParsed(file, d.Kind, "", withoutFileMembers(n))
	for _, x := range f {
		x.Path, x.Warning = nestedPath(path, x.Path), false
		findings = append(findings, x)
	}
	if findings != nil {
		return d, findings
	}
	d.Object, d.Name = object, nameOf(object)
	return d, nil
}

// nestedPath returns the path of a finding within the file.
func nestedPath(path, inner string) string {
	if inner == "" {
		return path
	}
	return joinPath(path, inner)
}

// withoutFileMembers returns the object without the members that belong to the
// file only.
func withoutFileMembers(n *node) *node {
	out := *n
	out.members = nil
	for _, m := range n.members {
		if m.name != memberKind && m.name != memberExpectVersion {
			out.members = append(out.members, m)
		}
	}
	return &out
}

// nameOf returns an object's name.
func nameOf(object any) string {
	switch o := object.(type) {
	case *Template:
		return o.Name
	case *Workspace:
		return o.Name
	case *Pool:
		return o.Name
	case *BackendServer:
		return o.Name
	default:
		return ""
	}
}

// CheckDocuments checks documents together with the stored objects, as Compile
// would after all of them are written. Findings about documents name their file
// and path. Findings about other stored objects are returned too, because the
// documents may be their cause.
func CheckDocuments(docs []Document, stored []objectstore.Object) Findings {
	merged, docByLocation, findings := merge(docs, stored)
	_, compiled := Compile(merged)
	for _, f := range compiled {
		if d, ok := docByLocation[f.File]; ok {
			f.File, f.Path = d.File, nestedPath(d.Path, f.Path)
		}
		findings = append(findings, f)
	}
	return findings
}

// merge replaces stored objects by their documents and adds the new ones.
// docByLocation maps the File of a stored object's findings to its document.
func merge(docs []Document, stored []objectstore.Object) ([]objectstore.Object, map[string]Document, Findings) {
	var findings Findings
	var newest objectstore.Version
	indexByID := make(map[objectID]int, len(stored)+len(docs))
	merged := make([]objectstore.Object, 0, len(stored)+len(docs))
	for _, o := range stored {
		indexByID[objectID{o.Kind, o.Name}] = len(merged)
		merged = append(merged, o)
		newest = max(newest, o.Version)
	}
	docByLocation := make(map[string]Document, len(docs))
	for _, d := range docs {
		file := objectLocation(d.Kind, d.Name)
		if other, duplicate := docByLocation[file]; duplicate {
			findings.Add(d.File, nestedPath(d.Path, "name"), "%s %q stands in %s too", d.Kind, d.Name, other.File)
			continue
		}
		docByLocation[file] = d
		value, err := d.Value()
		if err != nil || len(value) > objectstore.MaxValueBytes {
			findings.Add(d.File, d.Path, "longer than the object API's %d bytes", objectstore.MaxValueBytes)
			continue
		}
		newest++
		o := objectstore.Object{Kind: d.Kind, Name: d.Name, Version: newest, Created: newest, Value: value}
		if i, exists := indexByID[objectID{d.Kind, d.Name}]; exists {
			o.Created = merged[i].Created
			merged[i] = o
			continue
		}
		merged = append(merged, o)
	}
	return merged, docByLocation, findings
}
