package apply

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
)

// FieldChange is one difference between two versions of an object.
type FieldChange struct {
	// Path is the JSON path; list members that have a name or an id are shown
	// by it, as in tiers[report].deadline_ms.
	Path string `json:"path"`
	// Old and New are JSON; nil where the field is absent.
	Old json.RawMessage `json:"old,omitempty"`
	New json.RawMessage `json:"new,omitempty"`
}

// String returns "path: old -> new".
func (f FieldChange) String() string {
	switch {
	case f.Old == nil:
		return fmt.Sprintf("+ %s: %s", f.Path, f.New)
	case f.New == nil:
		return fmt.Sprintf("- %s: %s", f.Path, f.Old)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", f.Path, f.Old, f.New)
	}
}

// Diff compares two JSON values field by field. An old value that is absent
// or no JSON counts as an empty object.
func Diff(old, next []byte) []FieldChange {
	var out []FieldChange
	compare("", tree(old), tree(next), &out)
	return out
}

// tree decodes JSON, keeping numbers as they are written.
func tree(b []byte) any {
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	var v any
	if len(b) == 0 || d.Decode(&v) != nil {
		return map[string]any{}
	}
	return v
}

// compare adds the differences of two values.
func compare(path string, a, b any, out *[]FieldChange) {
	ma, aIs := a.(map[string]any)
	mb, bIs := b.(map[string]any)
	if !aIs || !bIs {
		ma, mb, aIs = members(a, b)
		bIs = aIs
	}
	if !aIs || !bIs {
		if x, y := compact(a), compact(b); !bytes.Equal(x, y) {
			*out = append(*out, FieldChange{Path: path, Old: x, New: y})
		}
		return
	}
	_, isList := a.([]any)
	for _, name := range keys(ma, mb) {
		at := join(path, name, isList)
		va, inA := ma[name]
		vb, inB := mb[name]
		switch {
		case !inA:
			*out = append(*out, FieldChange{Path: at, New: compact(vb)})
		case !inB:
			*out = append(*out, FieldChange{Path: at, Old: compact(va)})
		default:
			compare(at, va, vb, out)
		}
	}
}

// join returns the path of a member.
func join(path, name string, inList bool) string {
	switch {
	case inList:
		return path + "[" + name + "]"
	case path == "":
		return name
	default:
		return path + "." + name
	}
}

// members returns two lists of objects as maps by their names, so that a
// member put in front does not make all others differ; false where they are
// no such lists.
func members(a, b any) (map[string]any, map[string]any, bool) {
	la, aIs := a.([]any)
	lb, bIs := b.([]any)
	if !aIs || !bIs {
		return nil, nil, false
	}
	ma, aNamed := byName(la)
	mb, bNamed := byName(lb)
	return ma, mb, aNamed && bNamed
}

// byName maps a list's objects by their name or id; false where one has none
// or two have the same.
func byName(list []any) (map[string]any, bool) {
	out := make(map[string]any, len(list))
	for _, item := range list {
		m, _ := item.(map[string]any)
		name, ok := m["name"].(string)
		if !ok {
			name, ok = m["id"].(string)
		}
		if _, twice := out[name]; !ok || twice {
			return nil, false
		}
		out[name] = item
	}
	return out, true
}

// keys returns the names in either map, sorted.
func keys(a, b map[string]any) []string {
	var out []string
	for k := range a {
		out = append(out, k)
	}
	for k := range b {
		if _, ok := a[k]; !ok {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out
}

// compact encodes a decoded value; nil for none.
func compact(v any) json.RawMessage {
	if v == nil {
		return json.RawMessage("null")
	}
	b, err := json.Marshal(v)
	if err != nil {
		return json.RawMessage("null")
	}
	return b
}
