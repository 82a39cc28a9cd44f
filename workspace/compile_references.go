package workspace

import (
	"maps"
	"slices"
)

// checkReferences warns of references to models and pools that do not exist. Such
// an object still becomes active, because what it refers to may be added a moment
// later.
func (run *compilation) checkReferences() {
	servedVersions := make(map[string]bool, len(run.snapshot.ModelPools))
	for key := range run.snapshot.ModelPools {
		servedVersions[key.Model+"\x00"+key.Version] = true
	}
	for _, d := range run.byKind[KindTemplate] {
		t := d.value.(*Template)
		file := d.location()
		for i, m := range t.Models {
			if _, isParameter := parameterName(m.Version); !isParameter && !servedVersions[m.Name+"\x00"+m.Version] {
				run.findings.Warn(file, indexedPath("models", i, "version"), "no pool serves model %q version %q", m.Name, m.Version)
			}
		}
		for i, s := range t.Services {
			if p, ok := run.snapshot.Pools[s.Pool]; !ok || p.Service != s.Name {
				run.findings.Warn(file, indexedPath("services", i, "pool"), "no pool %q of service %q", s.Pool, s.Name)
			}
		}
	}
	run.checkModelParameters(servedVersions)
}

// checkModelParameters warns of versions given by parameters that no pool serves,
// once per template and version.
func (run *compilation) checkModelParameters(servedVersions map[string]bool) {
	warned := make(map[resolutionKey]bool)
	for _, name := range slices.Sorted(maps.Keys(run.resolutions)) {
		r := run.resolutions[name]
		if warned[r.key] {
			continue
		}
		warned[r.key] = true
		for i, m := range r.template.value.(*Template).Models {
			parameter, ok := parameterName(m.Version)
			version := r.resolved.Models[m.Name].Version
			if ok && !servedVersions[m.Name+"\x00"+version] {
				run.findings.Warn(r.workspace.location(), joinPath("parameters", parameter),
					"no pool serves model %q version %q, named by models[%d] of template %q", m.Name, version, i, r.resolved.Template)
			}
		}
	}
}
