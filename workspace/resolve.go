package workspace

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/lycheekeel/lycheekeel/request"
)

// resolver substitutes a workspace's parameters into its template.
type resolver struct {
	checker
	template *Template
	values   map[string]paramValue
}

// resolve returns the template with the workspace's parameters substituted.
// Findings name the parameters.
func resolve(file string, t *Template, w *Workspace) (*ResolvedWorkspace, Findings) {
	r := &resolver{checker: checker{file: file}, template: t, values: make(map[string]paramValue)}
	r.bindParameters(w.Parameters)
	return r.finish(w)
}

// resolveLenient resolves a workspace without the parameters that do not fit the
// template. It returns nil if that is not possible either.
//
// If two operators change a template and one of its workspaces at the same time,
// the two may not fit. Members with an earlier resolution keep it, but a member
// that starts later has none, and its callers would be told that their key is
// invalid. With the template's defaults they are served.
func resolveLenient(t *Template, w *Workspace) *ResolvedWorkspace {
	valid := make(map[string]json.RawMessage, len(w.Parameters))
	for name, raw := range w.Parameters {
		if p, ok := t.Parameters[name]; ok {
			if _, err := parseParamValue(&p, raw); err == nil {
				valid[name] = raw
			}
		}
	}
	r := &resolver{template: t, values: make(map[string]paramValue)}
	r.bindParameters(valid)
	out, _ := r.finish(w)
	return out
}

// finish returns the resolution, or the findings if there are any.
func (r *resolver) finish(w *Workspace) (*ResolvedWorkspace, Findings) {
	if r.findings != nil {
		return nil, r.findings
	}
	out := r.build(w.Name)
	if r.findings != nil {
		return nil, r.findings
	}
	return out, nil
}

// bindParameters sets each parameter to the workspace's value or its default.
func (r *resolver) bindParameters(parameters map[string]json.RawMessage) {
	for name := range parameters {
		if _, ok := r.template.Parameters[name]; !ok {
			r.add(joinPath("parameters", name), "template %q has no such parameter", r.template.Name)
		}
	}
	for name, p := range r.template.Parameters {
		raw, ok := parameters[name]
		if !ok {
			raw = p.Default
		}
		if raw == nil {
			r.add(joinPath("parameters", name), "missing: template %q has no default for it", r.template.Name)
			continue
		}
		v, err := parseParamValue(&p, raw)
		if err != nil {
			r.add(joinPath("parameters", name), "%v", err)
		}
		r.values[name] = v
	}
}

// resolveNumber returns a number of the template. It checks the range of a
// parameter's value again, because the parameter's own bounds may be wider.
func (r *resolver) resolveNumber(path string, n Number, low, high int64) int64 {
	if n.Parameter == "" {
		return n.Value
	}
	v := r.values[n.Parameter].number
	if v < low || v > high {
		r.add(joinPath("parameters", n.Parameter), "%d as %s of template %q is not between %d and %d",
			v, path, r.template.Name, low, high)
	}
	return v
}

// build resolves the whole template and adds findings to r.
func (r *resolver) build(name string) *ResolvedWorkspace {
	t := r.template
	out := &ResolvedWorkspace{
		Workspace: name, Template: t.Name,
		AllowTierHeader: t.AllowTierHeader, AllowDeadlineHeader: t.AllowDeadlineHeader,
		MaxTokens:    int(r.resolveNumber("max_tokens", t.MaxTokens, 1, MaxTokens)),
		MaxBodyBytes: int(r.resolveNumber("max_body_bytes", t.MaxBodyBytes, 1, MaxBodyBytes)),
		TierByName:   make(map[string]*ResolvedTier, len(t.Tiers)),
		Models:       make(map[string]*ResolvedModel, len(t.Models)),
		Services:     make(map[string]*ResolvedService, len(t.Services)),
	}
	for i := range t.Tiers {
		out.Tiers = append(out.Tiers, r.resolveTier(i))
	}
	slices.SortFunc(out.Tiers, func(a, b ResolvedTier) int { return cmp.Compare(a.Tier, b.Tier) })
	for i := range out.Tiers {
		out.TierByName[out.Tiers[i].Name] = &out.Tiers[i]
	}
	out.DefaultTier = out.TierByName[t.DefaultTier]
	for _, m := range t.Models {
		out.Models[m.Name] = r.resolveModel(out, m)
	}
	for _, s := range t.Services {
		out.Services[s.Name] = resolveService(out, s)
	}
	return out
}

// resolveTier resolves one tier.
func (r *resolver) resolveTier(i int) ResolvedTier {
	s := &r.template.Tiers[i]
	path := fmt.Sprintf("tiers[%d].", i)
	firstToken := r.resolveNumber(path+"first_token_ms", s.FirstTokenMs, 1, MaxTargetMs)
	perToken := r.resolveNumber(path+"per_token_ms", s.PerTokenMs, 1, MaxTargetMs)
	deadline := r.resolveNumber(path+"deadline_ms", s.DeadlineMs, 1, MaxTargetMs)
	if firstToken > deadline {
		r.add("parameters", "make first_token_ms %d of tier %q longer than its deadline_ms %d", firstToken, s.Name, deadline)
	}
	return ResolvedTier{
		Name: s.Name, Tier: request.Tier(s.Priority),
		Targets: request.Targets{
			FirstToken: Milliseconds(firstToken), PerToken: Milliseconds(perToken), Deadline: Milliseconds(deadline),
		},
		MaxWaiting: int(r.resolveNumber(path+"max_waiting", s.MaxWaiting, 0, MaxPoolWaiting)),
	}
}

// tierOrDefault returns the named tier, or the default one if there is none.
func (r *ResolvedWorkspace) tierOrDefault(name string) *ResolvedTier {
	if t, ok := r.TierByName[name]; ok {
		return t
	}
	return r.DefaultTier
}

// resolveModel resolves one model.
func (r *resolver) resolveModel(out *ResolvedWorkspace, m ModelSpec) *ResolvedModel {
	version := m.Version
	if parameter, ok := parameterName(version); ok {
		version = r.values[parameter].text
		if !namePattern.MatchString(version) {
			r.add(joinPath("parameters", parameter), "%q is not a version's name", version)
		}
	}
	return &ResolvedModel{
		Name: m.Name, Version: version, Tier: out.tierOrDefault(m.Tier), NonIdempotent: m.NonIdempotent,
	}
}

// resolveService resolves one plain service.
func resolveService(out *ResolvedWorkspace, s ServiceSpec) *ResolvedService {
	service := &ResolvedService{Name: s.Name, Pool: s.Pool, Tier: out.tierOrDefault(s.Tier)}
	for _, rule := range s.Rules {
		service.Rules = append(service.Rules, ResolvedRule{
			Method: rule.Method, Path: rule.Path, Idempotent: rule.Idempotent, Tier: out.TierByName[rule.Tier],
		})
	}
	return service
}
