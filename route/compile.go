package route

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// compiler checks a document's parts and puts them into the table.
type compiler struct {
	file     string
	table    *Table
	findings workspace.Findings
}

func (c *compiler) add(path, format string, args ...any) {
	c.findings = append(c.findings, workspace.Finding{File: c.file, Path: path, Reason: fmt.Sprintf(format, args...)})
}

func (c *compiler) service(i int, s *Service) {
	at := fmt.Sprintf("services[%d]", i)
	switch {
	case s.Name == "":
		c.add(at, "a service without a name")
	case c.table.Services[s.Name] != nil:
		c.add(at, "service %q stands twice", s.Name)
	}
	c.table.Services[s.Name] = s
}

func (c *compiler) route(i int, r *Route) {
	at := fmt.Sprintf("routes[%d]", i)
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.add(at, "prefix %q does not begin and end with a slash", r.Prefix)
	}
	if r.Host == "" {
		c.add(at, "a route without a host")
	}
	if r.Timeout <= 0 {
		c.add(at, "timeout %v is not positive", r.Timeout)
	}
	r.MaxAttempts = max(1, r.MaxAttempts)
	weights := 0
	for _, t := range r.Targets {
		if c.table.Services[t.Service] == nil {
			c.add(at, "no service %q", t.Service)
		}
		if t.Weight < 0 {
			c.add(at, "weight %d of service %q is negative", t.Weight, t.Service)
		}
		weights += t.Weight
	}
	if weights <= 0 {
		c.add(at, "no service with a weight")
	}
	host := hostName(r.Host)
	c.table.byHost[host] = append(c.table.byHost[host], r)
}

func (c *compiler) workspace(i int, w *Workspace) {
	at := fmt.Sprintf("workspaces[%d]", i)
	if w.Name == "" {
		c.add(at, "a workspace without a name")
	}
	for _, k := range w.Keys {
		if other := c.table.byKey[k]; other != nil && other.Name != w.Name {
			c.add(at, "workspaces %q and %q hold the same key", other.Name, w.Name)
		}
		c.table.byKey[k] = w
	}
	c.table.Workspaces = append(c.table.Workspaces, w)
}

// rank gives the ranks that occur their tiers, most urgent first. Where more
// occur than there are tiers, the least urgent ones share the last.
func (c *compiler) rank() {
	t := c.table
	t.ranks = map[rank]request.Tier{}
	for _, routes := range t.byHost {
		for _, r := range routes {
			t.ranks[rankOf(nil, r)] = 0
			for _, w := range t.Workspaces {
				t.ranks[rankOf(w, r)] = 0
			}
		}
	}
	all := slices.Collect(maps.Keys(t.ranks))
	slices.SortFunc(all, func(a, b rank) int {
		return cmp.Or(cmp.Compare(a.workspace, b.workspace), cmp.Compare(a.route, b.route))
	})
	for i, k := range all {
		t.ranks[k] = request.Tier(min(i, int(request.MaxTiers)-1))
	}
}
