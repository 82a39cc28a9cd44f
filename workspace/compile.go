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
	// decoded holds each object version's decoding.
	decoded map[objectVersion]*decoded
	// inForce is the last good version of each object that still exists.
	inForce map[objectID]*decoded
	// resolved is each workspace's resolution in force.
	resolved map[string]*resolution
	// keyOwner is which workspace each key belonged to.
	keyOwner map[KeyHash]string
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

// decoded is one checked version of an object.
type decoded struct {
	id       objectID
	version  objectstore.Version
	created  objectstore.Version
	value    any // *Template and so on; nil where the version is bad
	findings Findings
	older    *decoded // the next older listed version of the same object
}

// resolution is a workspace resolved from one version of it and its template.
type resolution struct {
	workspace, template *decoded
	share               shareKey
	out                 *Resolved
	findings            Findings // what did not fit, where out is without it
}

// shareKey names what a resolution is made of, but for the workspace's name:
// workspaces of equal keys share their tiers, models and services in memory.
type shareKey struct {
	template   *decoded
	parameters string
}

// NewCompiler returns a Compiler with nothing in force.
func NewCompiler() *Compiler {
	return &Compiler{
		decoded:  map[objectVersion]*decoded{},
		inForce:  map[objectID]*decoded{},
		resolved: map[string]*resolution{},
		keyOwner: map[KeyHash]string{},
	}
}

// compilation is the state of one Compile.
type compilation struct {
	*Compiler
	findings Findings
	// byKind holds the versions to put in force, sorted by name.
	byKind map[objectstore.Kind][]*decoded
	shared map[shareKey]*Resolved
	out    *Snapshot
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
		Compiler: c,
		byKind:   map[objectstore.Kind][]*decoded{},
		shared:   map[shareKey]*Resolved{},
		out: &Snapshot{
			Workspaces: map[KeyHash]*Resolved{},
			Pools:      map[string]*ResolvedPool{},
			ModelPools: map[ModelRegion][]*ResolvedPool{},
		},
	}
	run.decode(objects)
	run.pools()
	run.servers()
	run.workspaces()
	run.references()
	slices.SortStableFunc(run.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Path, b.Path))
	})
	return run.out, run.findings
}

// decode decodes what is new and picks each object's version in force.
func (run *compilation) decode(objects []objectstore.Object) {
	versions := make(map[objectID]*decoded, len(objects))
	kept := make(map[objectVersion]*decoded, len(objects))
	for _, o := range objects {
		key := objectVersion{objectID{o.Kind, o.Name}, o.Version}
		d, ok := run.decoded[key]
		if !ok {
			d = &decoded{id: key.objectID, version: o.Version, created: o.Created}
			d.value, d.findings = decodeObject(objectFile(o.Kind, o.Name), o.Kind, o.Name, o.Value)
		}
		kept[key] = d
		versions[key.objectID] = d.before(versions[key.objectID])
		run.out.Version = max(run.out.Version, o.Version)
	}
	run.decoded = kept
	inForce := make(map[objectID]*decoded, len(versions))
	for id, newest := range versions {
		if d := run.pick(id, newest); d != nil {
			inForce[id] = d
			run.byKind[id.kind] = append(run.byKind[id.kind], d)
		}
	}
	run.inForce = inForce
	for _, list := range run.byKind {
		slices.SortFunc(list, func(a, b *decoded) int { return cmp.Compare(a.id.name, b.id.name) })
	}
}

// file is the File of the object's findings.
func (d *decoded) file() string { return objectFile(d.id.kind, d.id.name) }

// before puts d into a list of one object's versions, newest first.
func (d *decoded) before(list *decoded) *decoded {
	if list != nil && list.version > d.version {
		list.older = d.before(list.older)
		return list
	}
	d.older = list
	return d
}

// pick reports the newest version's findings and returns the newest good
// version, or nil.
func (run *compilation) pick(id objectID, newest *decoded) *decoded {
	run.findings = append(run.findings, newest.findings...)
	for d := newest; d != nil; d = d.older {
		if d.value != nil {
			return d
		}
	}
	return run.inForce[id]
}

// pools puts the pools in force, still without servers.
func (run *compilation) pools() {
	for _, d := range run.byKind[KindPool] {
		p := d.value.(*Pool)
		resolved := &ResolvedPool{Pool: *p}
		run.out.Pools[p.Name] = resolved
		if p.Model != "" {
			key := ModelRegion{p.Model, p.Version, p.Region}
			run.out.ModelPools[key] = append(run.out.ModelPools[key], resolved)
		}
	}
}

// servers puts each server in the pool that it serves now.
func (run *compilation) servers() {
	assigned := run.assignments()
	servers := slices.Clone(run.byKind[KindBackendServer])
	// The oldest first: a new server never displaces one that serves.
	slices.SortFunc(servers, func(a, b *decoded) int {
		return cmp.Or(cmp.Compare(a.created, b.created), cmp.Compare(a.id.name, b.id.name))
	})
	addresses := make(map[string]string, len(servers))
	for _, d := range servers {
		s := *d.value.(*BackendServer)
		if other, taken := addresses[s.Address]; taken {
			run.findings.Add(d.file(), "address", "%s is the address of server %q", s.Address, other)
			continue
		}
		addresses[s.Address] = s.Name
		run.place(d, s, assigned[s.Name])
	}
	for _, p := range run.out.Pools {
		slices.SortFunc(p.Servers, func(a, b BackendServer) int { return cmp.Compare(a.Name, b.Name) })
	}
}

// assignments returns the pools that warm servers are assigned to.
func (run *compilation) assignments() map[string]string {
	out := make(map[string]string)
	for _, d := range run.byKind[KindAssignment] {
		a := d.value.(*Assignment)
		if run.inForce[objectID{KindBackendServer, a.Server}] == nil {
			run.findings.Warn(d.file(), "server", "no backend server %q", a.Server)
		}
		if a.Warm {
			out[a.Server] = a.Pool
		}
	}
	return out
}

// place adds a server to its pool: the one assigned, else its own.
func (run *compilation) place(d *decoded, s BackendServer, assigned string) {
	if assigned != "" {
		if problem := run.unfit(s, assigned); problem == "" {
			s.Pool = assigned
		} else {
			run.findings.Warn(objectFile(KindAssignment, s.Name), "pool", "%s", problem)
		}
	}
	if problem := run.unfit(s, s.Pool); problem != "" {
		run.findings.Add(d.file(), "pool", "%s", problem)
		return
	}
	p := run.out.Pools[s.Pool]
	p.Servers = append(p.Servers, s)
}

// unfit says why a server can't be in a pool; empty where it can.
func (run *compilation) unfit(s BackendServer, pool string) string {
	p, ok := run.out.Pools[pool]
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
