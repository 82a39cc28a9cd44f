package route

import (
	"cmp"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// Table is a checked Document, made for lookups. It is not changed.
type Table struct {
	Version  uint64
	Limits   Limits
	Services map[string]*Service
	// Workspaces in the document's order.
	Workspaces []*Workspace

	byHost map[string][]*Route // longest prefix first
	byKey  map[string]*Workspace
	tiers  map[priority]request.Tier
}

// priority orders requests: first by their workspace, then by their route.
type priority struct{ workspace, route request.Tier }

// Compile checks a document and returns its table. Findings without a table
// mean that the document can't be put in force at all; file names the
// document in them.
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
	for _, routes := range c.table.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c.table, nil
}

// Lookup returns the route with the longest prefix that begins the path, or
// nil. The host may carry a port.
func (t *Table) Lookup(host, path string) *Route {
	for _, r := range t.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// ByKey returns the workspace that holds a key, or nil.
func (t *Table) ByKey(key string) *Workspace { return t.byKey[key] }

// Tier returns the tier of a workspace's requests on a route; w is nil where
// the route needs no key. The workspace's rank goes first, the route's decides
// among equals.
func (t *Table) Tier(w *Workspace, r *Route) request.Tier { return t.tiers[priorityOf(w, r)] }

func priorityOf(w *Workspace, r *Route) priority {
	if w == nil || w.Tier == nil {
		return priority{r.Tier, r.Tier}
	}
	return priority{*w.Tier, r.Tier}
}

// NeedsKeys tells whether requests on routes that are not public need a key.
func (t *Table) NeedsKeys() bool { return len(t.Workspaces) > 0 }

func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Live holds the table in force. Load is one atomic read.
type Live struct{ table atomic.Pointer[Table] }

// Load returns the table in force, or nil before the first one.
func (l *Live) Load() *Table { return l.table.Load() }

// Update puts a table in force unless it is older than the one in force, and
// reports whether it did.
//
// What goes wrong without the check: a stale read, or a peer that was paused,
// brings an older version, and requests run by routes and keys that were
// withdrawn. One would notice a route that comes back for a moment.
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
