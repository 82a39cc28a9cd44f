package workspace

import (
	"maps"
	"slices"
)

// references warns of names that nothing carries yet. They do not keep an
// object out of force, because its counterpart may come a moment later.
func (run *compilation) references() {
	models := make(map[string]bool, len(run.out.ModelPools))
	for key := range run.out.ModelPools {
		models[key.Model+"\x00"+key.Version] = true
	}
	for _, d := range run.byKind[KindTemplate] {
		t := d.value.(*Template)
		file := d.file()
		for i, m := range t.Models {
			if _, isParameter := parameterName(m.Version); !isParameter && !models[m.Name+"\x00"+m.Version] {
				run.findings.Warn(file, indexed("models", i, "version"), "no pool serves model %q version %q", m.Name, m.Version)
			}
		}
		for i, s := range t.Services {
			if p, ok := run.out.Pools[s.Pool]; !ok || p.Service != s.Name {
				run.findings.Warn(file, indexed("services", i, "pool"), "no pool %q of service %q", s.Pool, s.Name)
			}
		}
	}
	run.modelParameters(models)
}

// modelParameters warns of versions named by parameters that no pool serves,
// once for each template and version.
func (run *compilation) modelParameters(models map[string]bool) {
	warned := make(map[shareKey]bool)
	for _, name := range slices.Sorted(maps.Keys(run.resolved)) {
		r := run.resolved[name]
		if warned[r.share] {
			continue
		}
		warned[r.share] = true
		for i, m := range r.template.value.(*Template).Models {
			parameter, ok := parameterName(m.Version)
			version := r.out.Models[m.Name].Version
			if ok && !models[m.Name+"\x00"+version] {
				run.findings.Warn(r.workspace.file(), join("parameters", parameter),
					"no pool serves model %q version %q, named by models[%d] of template %q", m.Name, version, i, r.out.Template)
			}
		}
	}
}
