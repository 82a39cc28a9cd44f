package workspace

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
)

// quote quotes a name for a finding.
func quote(s string) string { return strconv.Quote(s) }

// indexedPath returns the JSON path list[i].member.
func indexedPath(list string, i int, member string) string {
	return fmt.Sprintf("%s[%d].%s", list, i, member)
}

// addWorkspaces resolves every workspace and assigns the keys.
func (run *compilation) addWorkspaces() {
	previous, previousOwners := run.resolutions, run.keyOwners
	run.resolutions = make(map[string]*resolution, len(previous))
	run.keyOwners = make(map[KeyHash]string, len(previousOwners))
	list := slices.Clone(run.byKind[KindWorkspace])
	slices.SortFunc(list, func(a, b *decodedObject) int { return cmp.Compare(a.version, b.version) })
	claims := listedKeys(list)
	for _, d := range list {
		if r := run.resolveWorkspace(d, previous[d.id.name]); r != nil && run.claimKeys(r, previousOwners, claims) {
			continue
		}
		run.keepPrevious(previous[d.id.name], previousOwners, claims)
	}
}

// resolveWorkspace returns the workspace's resolution: the active one if neither
// the workspace nor its template changed, and nil if the workspace is invalid.
func (run *compilation) resolveWorkspace(d *decodedObject, previous *resolution) *resolution {
	w := d.value.(*Workspace)
	t := run.active[objectID{KindTemplate, w.Template}]
	if t == nil {
		run.findings.Add(d.location(), "template", "no template %q", w.Template)
		return nil
	}
	if previous != nil && previous.workspace == d && previous.template == t {
		run.recordResolution(previous)
		return previous
	}
	next := &resolution{workspace: d, template: t, key: resolutionKey{t, parametersKey(w)}}
	if same, ok := run.sharedByKey[next.key]; ok {
		out := *same
		out.Workspace = w.Name
		next.resolved = &out
		return next
	}
	next.resolved, next.findings = resolve(d.location(), t.value.(*Template), w)
	if next.resolved == nil && previous == nil {
		next.resolved = resolveLenient(t.value.(*Template), w)
	}
	run.recordResolution(next)
	if next.resolved == nil {
		return nil
	}
	return next
}

// recordResolution reports a resolution's findings, or shares the resolution if
// it has none.
func (run *compilation) recordResolution(r *resolution) {
	run.findings = append(run.findings, r.findings...)
	if len(r.findings) == 0 {
		run.sharedByKey[r.key] = r.resolved
	}
}

// parametersKey returns a workspace's parameters as a string.
func parametersKey(w *Workspace) string {
	if len(w.Parameters) == 0 {
		return ""
	}
	b, _ := json.Marshal(w.Parameters) // keys are sorted; the values are valid JSON, as they were decoded from it
	return string(b)
}

// keepPrevious keeps the previous resolution of a workspace whose newest version
// is invalid.
func (run *compilation) keepPrevious(previous *resolution, previousOwners map[KeyHash]string, claims map[KeyHash]map[string]bool) {
	if previous == nil {
		return
	}
	name := previous.workspace.id.name
	for _, k := range previous.workspace.value.(*Workspace).Keys {
		h, _ := parseKeyHash(k.SHA256)
		if claims[h] == nil {
			claims[h] = map[string]bool{}
		}
		claims[h][name] = true
	}
	run.claimKeys(previous, previousOwners, claims)
}

// listedKeys returns the workspaces that list each key.
func listedKeys(list []*decodedObject) map[KeyHash]map[string]bool {
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

// claimKeys makes a resolution active under its keys, or reports the keys that
// belong to another workspace. A key stays with the workspace that had it; a new
// key goes to the workspace with the older version. Otherwise a workspace could
// receive another customer's requests by listing that customer's key.
func (run *compilation) claimKeys(r *resolution, previousOwners map[KeyHash]string, claims map[KeyHash]map[string]bool) bool {
	name := r.workspace.id.name
	keys := r.workspace.value.(*Workspace).Keys
	allFree := true
	for i, k := range keys {
		h, _ := parseKeyHash(k.SHA256)
		holder, taken := run.keyOwners[h]
		if owner, ok := previousOwners[h]; !taken && ok && owner != name && claims[h][owner] {
			holder, taken = owner, true
		}
		if taken {
			run.findings.Add(r.workspace.location(), indexedPath("keys", i, "sha256"), "is a key of workspace %q", holder)
			allFree = false
		}
	}
	if !allFree {
		return false
	}
	for _, k := range keys {
		h, _ := parseKeyHash(k.SHA256)
		run.keyOwners[h] = name
		run.snapshot.Workspaces[h] = r.resolved
	}
	run.resolutions[name] = r
	return true
}
