package workspace

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
)

// quote quotes a name in a finding.
func quote(s string) string { return strconv.Quote(s) }

// indexed returns the JSON path list[i].member.
func indexed(list string, i int, member string) string {
	return fmt.Sprintf("%s[%d].%s", list, i, member)
}

// workspaces resolves every workspace and hands out the keys.
func (run *compilation) workspaces() {
	previous, owners := run.resolved, run.keyOwner
	run.resolved = make(map[string]*resolution, len(previous))
	run.keyOwner = make(map[KeyHash]string, len(owners))
	list := slices.Clone(run.byKind[KindWorkspace])
	slices.SortFunc(list, func(a, b *decoded) int { return cmp.Compare(a.version, b.version) })
	wanted := wantedKeys(list)
	for _, d := range list {
		if r := run.resolve(d, previous[d.id.name]); r != nil && run.takeKeys(r, owners, wanted) {
			continue
		}
		run.fallBack(previous[d.id.name], owners, wanted)
	}
}

// resolve returns the workspace's resolution, the one in force where neither
// it nor its template changed; nil where it is bad.
func (run *compilation) resolve(d *decoded, previous *resolution) *resolution {
	w := d.value.(*Workspace)
	t := run.inForce[objectID{KindTemplate, w.Template}]
	if t == nil {
		run.findings.Add(d.file(), "template", "no template %q", w.Template)
		return nil
	}
	if previous != nil && previous.workspace == d && previous.template == t {
		run.adopt(previous)
		return previous
	}
	next := &resolution{workspace: d, template: t, share: shareKey{t, parametersKey(w)}}
	if like, ok := run.shared[next.share]; ok {
		out := *like
		out.Workspace = w.Name
		next.out = &out
		return next
	}
	next.out, next.findings = resolve(d.file(), t.value.(*Template), w)
	if next.out == nil && previous == nil {
		next.out = resolveFitting(t.value.(*Template), w)
	}
	run.adopt(next)
	if next.out == nil {
		return nil
	}
	return next
}

// adopt reports a resolution's findings, or shares it where it has none.
func (run *compilation) adopt(r *resolution) {
	run.findings = append(run.findings, r.findings...)
	if len(r.findings) == 0 {
		run.shared[r.share] = r.out
	}
}

// parametersKey returns a workspace's parameters as one text.
func parametersKey(w *Workspace) string {
	if len(w.Parameters) == 0 {
		return ""
	}
	b, _ := json.Marshal(w.Parameters) // sorted; valid JSON by its decoding
	return string(b)
}

// fallBack keeps a workspace whose newest version is bad at the resolution
// that was in force.
func (run *compilation) fallBack(previous *resolution, owners map[KeyHash]string, wanted map[KeyHash]map[string]bool) {
	if previous == nil {
		return
	}
	name := previous.workspace.id.name
	for _, k := range previous.workspace.value.(*Workspace).Keys {
		h, _ := parseKeyHash(k.SHA256)
		if wanted[h] == nil {
			wanted[h] = map[string]bool{}
		}
		wanted[h][name] = true
	}
	run.takeKeys(previous, owners, wanted)
}

// wantedKeys returns which workspaces list each key.
func wantedKeys(list []*decoded) map[KeyHash]map[string]bool {
	out := make(map[KeyHash]map[string]bool, len(list))
	for _, d := range list {
		for _, k := range d.value.(*Workspace).Keys {
			h, _ := parseKeyHash(k.SHA256)
			if out[h] == nil {
				out[h] = make(map[string]bool, 1)
			}
			out[h][d.id.name] = true
		}
	}
	return out
}

// takeKeys puts a resolution in force under its keys, or reports those that
// another workspace holds. A key stays with the workspace that had it; else
// it goes to the older version. What goes wrong otherwise: by listing
// another's key, a workspace would get that customer's requests.
func (run *compilation) takeKeys(r *resolution, owners map[KeyHash]string, wanted map[KeyHash]map[string]bool) bool {
	name := r.workspace.id.name
	keys := r.workspace.value.(*Workspace).Keys
	free := true
	for i, k := range keys {
		h, _ := parseKeyHash(k.SHA256)
		holder, taken := run.keyOwner[h]
		if owner, ok := owners[h]; !taken && ok && owner != name && wanted[h][owner] {
			holder, taken = owner, true
		}
		if taken {
			run.findings.Add(r.workspace.file(), indexed("keys", i, "sha256"), "is a key of workspace %q", holder)
			free = false
		}
	}
	if !free {
		return false
	}
	for _, k := range keys {
		h, _ := parseKeyHash(k.SHA256)
		run.keyOwner[h] = name
		run.out.Workspaces[h] = r.out
	}
	run.resolved[name] = r
	return true
}
