package workspace

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Decode decodes one object strictly. With a lax decoder a misspelled member
// would be ignored silently, so that the operator's limit would have no effect,
// and of two members with one name the last one would win. Each such member is a
// finding with its JSON path, and all findings are returned together. An unknown
// member is only a Warning, because a newer release may have written it.
func Decode[T any](file string, value []byte) (T, Findings) {
	var out T
	root, findings := parse(file, value)
	if findings != nil {
		return out, findings
	}
	return out, decodeNode(file, "", root, &out)
}

// decodeNode checks a parsed value against the type of out and decodes it into
// out.
func decodeNode(file, path string, n *node, out any) Findings {
	tc := typeChecker{file: file}
	tc.check(path, n, reflect.TypeOf(out).Elem())
	if tc.findings.Fatal() != nil {
		return tc.findings
	}
	if err := json.Unmarshal(n.raw, out); err != nil {
		tc.findings.Add(file, path, "%v", err)
	}
	return tc.findings
}

// nodeKind is the kind of a JSON value.
type nodeKind string

// The kinds of JSON values, as named in findings.
const (
	kindObject nodeKind = "an object"
	kindArray  nodeKind = "a list"
	kindString nodeKind = "a string"
	kindNumber nodeKind = "a number"
	kindBool   nodeKind = "true or false"
	kindNull   nodeKind = "null"
)

// node is a parsed JSON value. Unlike a map it keeps duplicate members.
type node struct {
	kind    nodeKind
	raw     json.RawMessage
	members []member // of an object
	items   []*node  // of a list
}

// member is one member of an object.
type member struct {
	name  string
	value *node
}

// get returns an object's first member with the name.
func (n *node) get(name string) (*node, bool) {
	for _, m := range n.members {
		if m.name == name {
			return m.value, true
		}
	}
	return nil, false
}

// maxDepth limits the nesting of values.
const maxDepth = 32

// parse parses exactly one JSON value.
func parse(file string, data []byte) (*node, Findings) {
	var f Findings
	if !utf8.Valid(data) {
		f.Add(file, "", "not valid UTF-8")
		return nil, f
	}
	p := parser{data: data, dec: json.NewDecoder(bytes.NewReader(data))}
	p.dec.UseNumber()
	n, err := p.parseValue(0)
	if err == nil && p.dec.More() {
		err = fmt.Errorf("more than one JSON value")
	}
	if err != nil {
		line := 1 + bytes.Count(data[:p.dec.InputOffset()], []byte("\n"))
		f.Add(file, "", "line %d: not valid JSON: %v", line, err)
		return nil, f
	}
	return n, nil
}

// parser builds nodes from a token stream.
type parser struct {
	data []byte
	dec  *json.Decoder
}

// parseValue parses the next value.
func (p *parser) parseValue(depth int) (*node, error) {
	if depth > maxDepth {
		return nil, fmt.Errorf("nested more than %d deep", maxDepth)
	}
	token, err := p.dec.Token()
	if err != nil {
		return nil, err
	}
	end := p.dec.InputOffset()
	switch t := token.(type) {
	case json.Delim:
		return p.parseContainer(t, int(end)-1, depth)
	case string:
		raw, _ := json.Marshal(t)
		return &node{kind: kindString, raw: raw}, nil
	case json.Number:
		return &node{kind: kindNumber, raw: json.RawMessage(t)}, nil
	case bool:
		return &node{kind: kindBool, raw: strconv.AppendBool(nil, t)}, nil
	default:
		return &node{kind: kindNull, raw: json.RawMessage("null")}, nil
	}
}

// parseContainer parses the rest of an object or a list that begins at offset
// start.
func (p *parser) parseContainer(open json.Delim, start, depth int) (*node, error) {
	n := &node{kind: kindArray}
	if open == '{' {
		n.kind = kindObject
	}
	for p.dec.More() {
		name := ""
		if n.kind == kindObject {
			token, err := p.dec.Token()
			if err != nil {
				return nil, err
			}
			name, _ = token.(string)
		}
		v, err := p.parseValue(depth + 1)
		if err != nil {
			return nil, err
		}
		if n.kind == kindObject {
			n.members = append(n.members, member{name, v})
		} else {
			n.items = append(n.items, v)
		}
	}
	if _, err := p.dec.Token(); err != nil {
		return nil, err
	}
	n.raw = p.data[start:p.dec.InputOffset()]
	return n, nil
}

// typeChecker checks nodes against Go types.
type typeChecker struct {
	file     string
	findings Findings
}

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

// check adds a finding for each part of n that does not fit t.
func (tc *typeChecker) check(path string, n *node, t reflect.Type) {
	if reflect.PointerTo(t).Implements(unmarshalerType) {
		target := reflect.New(t).Interface().(json.Unmarshaler)
		if err := target.UnmarshalJSON(n.raw); err != nil {
			tc.findings.Add(tc.file, path, "%v", err)
		}
		return
	}
	switch t.Kind() {
	case reflect.Pointer:
		tc.check(path, n, t.Elem())
	case reflect.Struct:
		tc.checkStruct(path, n, t)
	case reflect.Map:
		tc.checkMap(path, n, t)
	case reflect.Slice:
		if tc.expectKind(path, n, kindArray) {
			for i, item := range n.items {
				tc.check(fmt.Sprintf("%s[%d]", path, i), item, t.Elem())
			}
		}
	case reflect.String:
		tc.expectKind(path, n, kindString)
	case reflect.Bool:
		tc.expectKind(path, n, kindBool)
	default:
		tc.checkInteger(path, n, t)
	}
}

// expectKind reports whether the node is of kind k, and adds a finding if not.
func (tc *typeChecker) expectKind(path string, n *node, k nodeKind) bool {
	if n.kind != k {
		tc.findings.Add(tc.file, path, "want %s, not %s", k, n.kind)
	}
	return n.kind == k
}

// checkInteger checks that the node is an integer within the range of t.
func (tc *typeChecker) checkInteger(path string, n *node, t reflect.Type) {
	if !tc.expectKind(path, n, kindNumber) {
		return
	}
	if err := json.Unmarshal(n.raw, reflect.New(t).Interface()); err != nil {
		tc.findings.Add(tc.file, path, "want an integer of type %s, not %s", t.Kind(), n.raw)
	}
}

// checkMap checks a map with string keys.
func (tc *typeChecker) checkMap(path string, n *node, t reflect.Type) {
	if !tc.expectKind(path, n, kindObject) {
		return
	}
	tc.checkDuplicates(path, n)
	for _, m := range n.members {
		tc.check(joinPath(path, m.name), m.value, t.Elem())
	}
}

// checkStruct checks a struct's members by their exact JSON names.
func (tc *typeChecker) checkStruct(path string, n *node, t reflect.Type) {
	if !tc.expectKind(path, n, kindObject) {
		return
	}
	tc.checkDuplicates(path, n)
	for _, m := range n.members {
		memberPath := joinPath(path, m.name)
		field, exact, ok := fieldByName(t, m.name)
		switch {
		case exact:
			tc.check(memberPath, m.value, field)
		case ok:
			tc.findings.Add(tc.file, memberPath, "unknown field; names are in lower case")
		default:
			tc.findings.Warn(tc.file, memberPath, "unknown field")
		}
	}
}

// checkDuplicates reports members that occur more than once.
func (tc *typeChecker) checkDuplicates(path string, n *node) {
	seen := make(map[string]bool, len(n.members))
	for _, m := range n.members {
		if seen[m.name] {
			tc.findings.Add(tc.file, joinPath(path, m.name), "stands twice")
		}
		seen[m.name] = true
	}
}

// fieldByName returns the type of a struct's field by its JSON name. exact is
// false if only the case differs, which encoding/json would accept.
func fieldByName(t reflect.Type, name string) (field reflect.Type, exact, ok bool) {
	for i := range t.NumField() {
		tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if tag == name {
			return t.Field(i).Type, true, true
		}
		if strings.EqualFold(tag, name) {
			field, ok = t.Field(i).Type, true
		}
	}
	return field, false, ok
}

// joinPath returns the JSON path of a member.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
