package workspace

import (
	"cmp"
	"slices"

	"github.com/lycheekeel/lycheekeel/objectstore"
)

// Compile checks and resolves a whole configuration. See Compiler.
func Compile(objects []objectstore.Object) (*Snapshot, Findings) {
	return NewCompiler().Compile(objects)
}

// Compiler resolves successive configurations into snapshots. It keeps unchanged
// parts between them, so that one change costs the decoding of one object and not
// of all. It is not safe for concurrent use.
type Compiler struct {
	// cache holds the decoding of each object version.
	cache map[objectVersion]*decodedObject
	// active holds the last good version of each existing object.
	active map[objectID]*decodedObject
	// resolutions holds the active resolution of each workspace.
	resolutions map[string]*resolution
	// keyOwners holds the workspace that each key belongs to.
	keyOwners map[KeyHash]string
}

// objectID identifies an object.
type objectID struct {
	kind objectstore.Kind
	name string
}

// objectVersion identifies one version of an object.
type objectVersion struct {
	objectID
	version objectstore.Version
}

// decodedObject is one decoded and checked version of an object.
type decodedObject struct {
	id        objectID
	version   objectstore.Version
	created   objectstore.Version
	value     any // *Template and so on; nil if the version is invalid
	findings  Findings
	nextOlder *decodedObject // the next older version of the same object in the listing
}

// resolution is a workspace resolved from one version of it and one of its
// template.
type resolution struct {
	workspace, template *decodedObject
	key                 resolutionKey
	resolved            *ResolvedWorkspace
	findings            Findings // why the workspace does not fit its template; resolved then omits these parts
}

// resolutionKey identifies the input of a resolution except the workspace's name.
// Workspaces with equal keys share their tiers, models and services in memory.
type resolutionKey struct {
	template   *decodedObject
	parameters string
}

// NewCompiler returns a Compiler without active objects.
func NewCompiler() *Compiler {
	return &Compiler{
		cache:       map[objectVersion]*decodedObject{},
		active:      map[objectID]*decodedObject{},
		resolutions: map[string]*resolution{},
		keyOwners:   map[KeyHash]string{},
	}
}

// compilation is the state of one call of Compile.
type compilation struct {
	*Compiler
	findings Findings
	// byKind holds the versions to make active, sorted by name.
	byKind      map[objectstore.Kind][]*decodedObject
	sharedByKey map[resolutionKey]*ResolvedWorkspace
	snapshot    *Snapshot
}

// Compile resolves the objects into a snapshot. An object may be listed in
// several versions; the newest valid one is used. If the newest version of an
// object is invalid, it is reported and the last good version, listed or known
// from an earlier Compile, stays active. All other objects become active. Without
// this, one operator's mistake would deactivate every workspace, or its own until
// somebody notices. Compile returns all findings together.
func (c *Compiler) Compile(objects []objectstore.Object) (*Snapshot, Findings) {
	run := &compilation{
		Compiler:    c,
		byKind:      map[objectstore.Kind][]*decodedObject{},
		sharedByKey: map[resolutionKey]*ResolvedWorkspace{},
		snapshot: &Snapshot{
			Workspaces: map[KeyHash]*ResolvedWorkspace{},
			Pools:      map[string]*ResolvedPool{},
			ModelPools: map[ModelRegion][]*ResolvedPool{},
		},
	}
	run.decodeObjects(objects)
	run.addPools()
	run.addServers()
	run.addWorkspaces()
	run.checkReferences()
	slices.SortStableFunc(run.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Path, b.Path))
	})
	return run.snapshot, run.findings
}

// decodeObjects decodes new versions and selects each object's active version.
func (run *compilation) decodeObjects(objects []objectstore.Object) {
	versions := make(map[objectID]*decodedObject, len(objects))
	cache := make(map[objectVersion]*decodedObject, len(objects))
	for _, o := range objects {
		key := objectVersion{objectID{o.Kind, o.Name}, o.Version}
		d, ok := run.cache[key]
		if !ok {
			d = &decodedObject{id: key.objectID, version: o.Version, created: o.Created}
			d.value, d.findings = decodeObject(objectLocation(o.Kind, o.Name), o.Kind, o.Name, o.Value)
		}
		cache[key] = d
		versions[key.objectID] = d.insertInto(versions[key.objectID])
		run.snapshot.Version = max(run.snapshot.Version, o.Version)
	}
	run.cache = cache
	active := make(map[objectID]*decodedObject, len(versions))
	for id, newest := range versions {
		if d := run.selectVersion(id, newest); d != nil {
			active[id] = d
			run.byKind[id.kind] = append(run.byKind[id.kind], d)
		}
	}
	run.active = active
	for _, list := range run.byKind {
		slices.SortFunc(list, func(a, b *decodedObject) int { return cmp.Compare(a.id.name, b.id.name) })
	}
}

// location returns the Finding.File of the object.
func (d *decodedObject) location() string { return objectLocation(d.id.kind, d.id.name) }

// insertInto inserts d into a list of one object's versions, newest first, and
// returns the new head.
func (d *decodedObject) insertInto(list *decodedObject) *decodedObject {
	if list != nil && list.version > d.version {
		list.nextOlder = d.insertInto(list.nextOlder)
		return list
	}
	d.nextOlder = list
	return d
}

// selectVersion reports the newest version's findings and returns the newest
// valid version: a listed one, else the one active before, or nil.
func (run *compilation) selectVersion(id objectID, newest *decodedObject) *decodedObject {
	run.findings = append(run.findings, newest.findings...)
	for d := newest; d != nil; d = d.nextOlder {
		if d.value != nil {
			return d
		}
	}
	return run.active[id]
}

// addPools adds the pools to the snapshot, without servers.
func (run *compilation) addPools() {
	for _, d := range run.byKind[KindPool] {
		p := d.value.(*Pool)
		resolved := &ResolvedPool{Pool: *p}
		run.snapshot.Pools[p.Name] = resolved
		if p.Model != "" {
			key := ModelRegion{p.Model, p.Version, p.Region}
			run.snapshot.ModelPools[key] = append(run.snapshot.ModelPools[key], resolved)
		}
	}
}

// addServers adds each server to the pool that it serves now.
func (run *compilation) addServers() {
	assigned := run.warmAssignments()
	servers := slices.Clone(run.byKind[KindBackendServer])
	// Oldest first, so that a new server never displaces an existing one.
	slices.SortFunc(servers, func(a, b *decodedObject) int {
		return cmp.Or(cmp.Compare(a.created, b.created), cmp.Compare(a.id.name, b.id.name))
	})
	addresses := make(map[string]string, len(servers))
	for _, d := range servers {
		s := *d.value.(*BackendServer)
		if other, taken := addresses[s.Address]; taken {
			run.findings.Add(d.location(), "address", "%s is the address of server %q", s.Address, other)
			continue
		}
		addresses[s.Address] = s.Name
		run.placeServer(d, s, assigned[s.Name])
	}
	for _, p := range run.snapshot.Pools {
		slices.SortFunc(p.Servers, func(a, b BackendServer) int { return cmp.Compare(a.Name, b.Name) })
	}
}

// warmAssignments returns the assigned pool of each warm server.
func (run *compilation) warmAssignments() map[string]string {
	out := make(map[string]string)
	for _, d := range run.byKind[KindAssignment] {
		a := d.value.(*Assignment)
		if run.active[objectID{KindBackendServer, a.Server}] == nil {
			run.findings.Warn(d.location(), "server", "no backend server %q", a.Server)
		}
		if a.Warm {
			out[a.Server] = a.Pool
		}
	}
	return out
}

// placeServer adds a server to its assigned pool or, if that is not possible, to
// its own.
func (run *compilation) placeServer(d *decodedObject, s BackendServer, assigned string) {
	if assigned != "" {
		if reason := run.placementError(s, assigned); reason == "" {
			s.Pool = assigned
		} else {
			run.findings.Warn(objectLocation(KindAssignment, s.Name), "pool", "%s", reason)
		}
	}
	if reason := run.placementError(s, s.Pool); reason != "" {
		run.findings.Add(d.location(), "pool", "%s", reason)
		return
	}
	p := run.snapshot.Pools[s.Pool]
	p.Servers = append(p.Servers, s)
}

// placementError returns why a server cannot be in a pool, or "" if it can.
func (run *compilation) placementError(s BackendServer, pool string) string {
	p, ok := run.snapshot.Pools[pool]
	switch {
	case !ok:
		return "no pool " + quote(pool)
	case p.Region != s.Region:
		return "pool " + quote(pool) + " is in region " + quote(p.Region) + ", the server in " + quote(s.Region)
	case len(p.Servers) >= MaxPoolServers:
		return "pool " + quote(pool) + " has its most servers already"
	default:
		return ""
	}
}
