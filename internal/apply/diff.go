package apply

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
)

// FieldChange is one difference between two versions of an object.
type FieldChange struct {
	// Path is the JSON path. List members with a name or an id are shown by it, as
	// in tiers[report].deadline_ms.
	Path string `json:"path"`
	// Old and New are JSON, or nil if the field is absent.
	Old json.RawMessage `json:"old,omitempty"`
	New json.RawMessage `json:"new,omitempty"`
}

// String returns "+ path: new", "- path: old" or "~ path: old -> new".
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

// Diff compares two JSON values field by field. An absent or invalid value counts
// as an empty object.
func Diff(old, next []byte) []FieldChange {
	var out []FieldChange
	diffValues("", decodeValue(old), decodeValue(next), &out)
	return out
}

// decodeValue decodes JSON and keeps numbers in their written form.
func decodeValue(b []byte) any {
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	var v any
	if len(b) == 0 || d.Decode(&v) != nil {
		return map[string]any{}
	}
	return v
}

// diffValues appends the differences between two values to out.
func diffValues(path string, a, b any, out *[]FieldChange) {
	ma, aOK := a.(map[string]any)
	mb, bOK := b.(map[string]any)
	if !aOK || !bOK {
		ma, mb, aOK = namedMembers(a, b)
		bOK = aOK
	}
	if !aOK || !bOK {
		if oldJSON, newJSON := encodeValue(a), encodeValue(b); !bytes.Equal(oldJSON, newJSON) {
			*out = append(*out, FieldChange{Path: path, Old: oldJSON, New: newJSON})
		}
		return
	}
	_, isList := a.([]any)
	for _, name := range unionKeys(ma, mb) {
		memberPath := joinPath(path, name, isList)
		va, inA := ma[name]
		vb, inB := mb[name]
		switch {
		case !inA:
			*out = append(*out, FieldChange{Path: memberPath, New: encodeValue(vb)})
		case !inB:
			*out = append(*out, FieldChange{Path: memberPath, Old: encodeValue(va)})
		default:
			diffValues(memberPath, va, vb, out)
		}
	}
}

// joinPath returns the path of an object's or a list's member.
func joinPath(path, name string, inList bool) string {
	switch {
	case inList:
		return path + "[" + name + "]"
	case path == "":
		return name
	default:
		return path + "." + name
	}
}

// namedMembers returns two lists of objects as maps by name, so that an inserted
// member does not make all following ones differ. It returns false if a value is
// not a list of uniquely named objects.
func namedMembers(a, b any) (map[string]any, map[string]any, bool) {
	la, aOK := a.([]any)
	lb, bOK := b.([]any)
	if !aOK || !bOK {
		return nil, nil, false
	}
	ma, aNamed := byName(la)
	mb, bNamed := byName(lb)
	return ma, mb, aNamed && bNamed
}

// byName maps a list's objects by their name or id. It returns false if one has
// neither or two have the same.
func byName(list []any) (map[string]any, bool) {
	out := make(map[string]any, len(list))
	for _, item := range list {
		m, _ := item.(map[string]any)
		name, ok := m["name"].(string)
		if !ok {
			name, ok = m["id"].(string)
		}
		if _, duplicate := out[name]; !ok || duplicate {
			return nil, false
		}
		out[name] = item
	}
	return out, true
}

// unionKeys returns the keys of both maps, sorted.
func unionKeys(a, b map[string]any) []string {
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

// encodeValue encodes a decoded value as compact JSON; nil becomes null.
func encodeValue(v any) json.RawMessage {
	if v == nil {
		return json.RawMessage("null")
	}
	b, err := json.Marshal(v)
	if err != nil {
		return json.RawMessage("null")
	}
	return b
}
