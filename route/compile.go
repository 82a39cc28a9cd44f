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

// compiler checks a document and builds the table from it.
type compiler struct {
	file     string
	table    *Table
	findings workspace.Findings
}

func (c *compiler) addFinding(path, format string, args ...any) {
	c.findings = append(c.findings, workspace.Finding{File: c.file, Path: path, Reason: fmt.Sprintf(format, args...)})
}

func (c *compiler) service(i int, s *Service) {
	path := fmt.Sprintf("services[%d]", i)
	switch {
	case s.Name == "":
		c.addFinding(path, "service has no name")
	case c.table.Services[s.Name] != nil:
		c.addFinding(path, "service %q is defined twice", s.Name)
	}
	c.table.Services[s.Name] = s
}

func (c *compiler) route(i int, r *Route) {
	path := fmt.Sprintf("routes[%d]", i)
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.addFinding(path, "prefix %q does not begin and end with a slash", r.Prefix)
	}
	if r.Host == "" {
		c.addFinding(path, "route has no host")
	}
	if r.Timeout <= 0 {
		c.addFinding(path, "timeout %v is not positive", r.Timeout)
	}
	r.MaxAttempts = max(1, r.MaxAttempts)
	weights := 0
	for _, t := range r.Targets {
		if c.table.Services[t.Service] == nil {
			c.addFinding(path, "service %q is not defined", t.Service)
		}
		if t.Weight < 0 {
			c.addFinding(path, "weight %d of service %q is negative", t.Weight, t.Service)
		}
		weights += t.Weight
	}
	if weights <= 0 {
		c.addFinding(path, "route has no service with a positive weight")
	}
	host := hostName(r.Host)
	c.table.byHost[host] = append(c.table.byHost[host], r)
}

func (c *compiler) workspace(i int, w *Workspace) {
	path := fmt.Sprintf("workspaces[%d]", i)
	if w.Name == "" {
		c.addFinding(path, "workspace has no name")
	}
	for _, k := range w.Keys {
		if other := c.table.byKey[k]; other != nil && other.Name != w.Name {
			c.addFinding(path, "workspaces %q and %q have the same key", other.Name, w.Name)
		}
		c.table.byKey[k] = w
	}
	c.table.Workspaces = append(c.table.Workspaces, w)
}

// assignTiers assigns tiers to the priorities in use, most urgent first. If there are more
// priorities than tiers, the least urgent ones share the last tier.
func (c *compiler) assignTiers() {
	t := c.table
	t.tiers = map[priority]request.Tier{}
	for _, routes := range t.byHost {
		for _, r := range routes {
			t.tiers[priorityOf(nil, r)] = 0
			for _, w := range t.Workspaces {
				t.tiers[priorityOf(w, r)] = 0
			}
		}
	}
	priorities := slices.Collect(maps.Keys(t.tiers))
	slices.SortFunc(priorities, func(a, b priority) int {
		return cmp.Or(cmp.Compare(a.workspace, b.workspace), cmp.Compare(a.route, b.route))
	})
	for i, k := range priorities {
		t.tiers[k] = request.Tier(min(i, int(request.MaxTiers)-1))
	}
}

// assignTraits derives the traits of each service.
func (c *compiler) assignTraits(routes []Route, patience Patience) {
	byService := routesByService(routes)
	for name, s := range c.table.Services {
		s.Traits = deriveTraits(byService[name], patience)
	}
}
