package workspace

import (
	"cmp"
	"slices"

	"github.com/lycheekeel/lycheekeel/objectstore"
)

// Compile checks and resolves a whole configuration at once. See Compiler.
func Compile(objects []objectstore.Object) (*Snapshot, Findings) {
	return NewCompiler().Compile(objects)
}

// Compiler resolves successive configurations into snapshots and keeps what
// did not change between them, so that one change costs one decode and not
// one of every object. It is not safe for concurrent use.
type Compiler struct {
	// decodedObject holds each object version's decoding.
	cache map[objectVersion]*decodedObject
	// active is the last good version of each object that still exists.
	active map[objectID]*decodedObject
	// resolutions is each workspace's resolution in force.
	resolutions map[string]*resolution
	// keyOwners is which workspace each key belonged to.
	keyOwners map[KeyHash]string
}

// objectID names an object.
type objectID struct {
	kind objectstore.Kind
	name string
}

// objectVersion names one version of an object.
type objectVersion struct {
	objectID
	version objectstore.Version
}

// decodedObject is one checked version of an object.
type decodedObject struct {
	id        objectID
	version   objectstore.Version
	created   objectstore.Version
	value     any // *Template and so on; nil where the version is bad
	findings  Findings
	nextOlder *decodedObject // the next older listed version of the same object
}

// resolution is a workspace resolved from one version of it and its template.
type resolution struct {
	workspace, template *decodedObject
	key                 resolutionKey
	resolved            *ResolvedWorkspace
	findings            Findings // what did not fit, where out is without it
}

// resolutionKey names what a resolution is made of, but for the workspace's name:
// workspaces of equal keys share their tiers, models and services in memory.
type resolutionKey struct {
	template   *decodedObject
	parameters string
}

// NewCompiler returns a Compiler with nothing in force.
func NewCompiler() *Compiler {
	return &Compiler{
		cache:       map[objectVersion]*decodedObject{},
		active:      map[objectID]*decodedObject{},
		resolutions: map[string]*resolution{},
		keyOwners:   map[KeyHash]string{},
	}
}

// compilation is the state of one Compile.
type compilation struct {
	*Compiler
	findings Findings
	// byKind holds the versions to put in force, sorted by name.
	byKind      map[objectstore.Kind][]*decodedObject
	sharedByKey map[resolutionKey]*ResolvedWorkspace
	snapshot    *Snapshot
}

// Compile resolves the objects into a snapshot. An object may be listed in
// several versions: the newest good one counts. A bad object stays at its
// last good version, listed or known from an earlier Compile, and is
// reported; the rest goes in force. All findings come back together.
//
// What goes wrong otherwise: one operator's mistake would take every
// workspace out of force, or take out its own until somebody notices.
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

// decodeObjects decodes what is new and picks each object's version in force.
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

// location is the File of the object's findings.
func (d *decodedObject) location() string { return objectLocation(d.id.kind, d.id.name) }

// insertInto puts d into a list of one object's versions, newest first.
func (d *decodedObject) insertInto(list *decodedObject) *decodedObject {
	if list != nil && list.version > d.version {
		list.nextOlder = d.insertInto(list.nextOlder)
		return list
	}
	d.nextOlder = list
	return d
}

// selectVersion reports the newest version's findings and returns the newest good
// version, or nil.
func (run *compilation) selectVersion(id objectID, newest *decodedObject) *decodedObject {
	run.findings = append(run.findings, newest.findings...)
	for d := newest; d != nil; d = d.nextOlder {
		if d.value != nil {
			return d
		}
	}
	return run.active[id]
}

// addPools puts the pools in force, still without servers.
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

// addServers puts each server in the pool that it serves now.
func (run *compilation) addServers() {
	assigned := run.warmAssignments()
	servers := slices.Clone(run.byKind[KindBackendServer])
	// The oldest first: a new server never displaces one that serves.
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

// warmAssignments returns the pools that warm servers are assigned to.
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

// placeServer adds a server to its pool: the one assigned, else its own.
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

// placementError says why a server can't be in a pool; empty where it can.
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
