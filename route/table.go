package route

import (
	"cmp"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// Table is a checked Document, indexed for lookups. It is immutable.
type Table struct {
	Version  uint64
	Limits   Limits
	Services map[string]*Service
	// Workspaces are in the document's order.
	Workspaces []*Workspace

	byHost map[string][]*Route // longest prefix first
	byKey  map[string]*Workspace
	tiers  map[priority]request.Tier
}

// priority orders requests by their workspace's tier first, then by their route's.
type priority struct{ workspace, route request.Tier }

// Compile checks a document and returns its table. If it returns findings, the table is
// nil, and the document must not take effect. file is the name of the document in the
// findings.
func Compile(file string, d Document) (*Table, workspace.Findings) {
	c := compiler{file: file, table: &Table{
		Version: d.Version, Limits: d.Limits,
		Services: make(map[string]*Service, len(d.Services)),
		byHost:   map[string][]*Route{}, byKey: map[string]*Workspace{},
	}}
	for i := range d.Services {
		c.service(i, &d.Services[i])
	}
	for i := range d.Routes {
		c.route(i, &d.Routes[i])
	}
	for i := range d.Workspaces {
		c.workspace(i, &d.Workspaces[i])
	}
	if c.findings != nil {
		return nil, c.findings
	}
	c.assignTiers()
	c.assignTraits(d.Routes, d.Patience)
	for _, routes := range c.table.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c.table, nil
}

// Lookup returns the route with the longest prefix of the path, or nil. The host may
// include a port.
func (t *Table) Lookup(host, path string) *Route {
	for _, r := range t.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// ByKey returns the workspace that has a key, or nil.
func (t *Table) ByKey(key string) *Workspace { return t.byKey[key] }

// Tier returns the tier of a workspace's requests on a route. w is nil if the route needs
// no key. The workspace's tier decides first, then the route's.
func (t *Table) Tier(w *Workspace, r *Route) request.Tier { return t.tiers[priorityOf(w, r)] }

func priorityOf(w *Workspace, r *Route) priority {
	if w == nil || w.Tier == nil {
		return priority{r.Tier, r.Tier}
	}
	return priority{*w.Tier, r.Tier}
}

// NeedsKeys reports whether requests on routes that are not public need a key.
func (t *Table) NeedsKeys() bool { return len(t.Workspaces) > 0 }

// hostName returns the host in lower case and without its port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Live holds the table in effect. Load is one atomic read.
type Live struct{ table atomic.Pointer[Table] }

// Load returns the table in effect, or nil before the first one.
func (l *Live) Load() *Table { return l.table.Load() }

// Update puts a table into effect unless the current one is as new or newer, and reports
// whether it did.
//
// Without this check, a stale read or a message from a daemon that was paused could bring
// back an older version, and requests would use routes and keys that were withdrawn.
func (l *Live) Update(t *Table) bool {
	for {
		old := l.table.Load()
		if old != nil && t.Version <= old.Version {
			return false
		}
		if l.table.CompareAndSwap(old, t) {
			return true
		}
	}
}
