package workspace

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/lycheekeel/lycheekeel/request"
)

// The types of parameters.
const (
	typeInt    = "int"
	typeString = "string"
)

// methods are what a service rule may match.
var methods = []string{
	"*", http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// checkTemplate checks a template by itself.
func checkTemplate(c *checker, t *Template) {
	c.name("name", t.Name)
	for name, p := range t.Parameters {
		checkParameter(c, join("parameters", name), name, &p)
	}
	checkTiers(c, t)
	c.template(t).number("max_tokens", t.MaxTokens, 1, MaxTokens)
	c.template(t).number("max_body_bytes", t.MaxBodyBytes, 1, MaxBodyBytes)
	if len(t.Models)+len(t.Services) == 0 {
		c.add("models", "missing: a template names a model or a service")
	}
	checkModels(c, t)
	checkServices(c, t)
}

// checkParameter checks a parameter's declaration.
func checkParameter(c *checker, path, name string, p *Parameter) {
	if name == "" || strings.ContainsAny(name, "${} ") {
		c.add(path, "%q is not a parameter's name", name)
	}
	switch p.Type {
	case typeInt:
		if len(p.Enum) > 0 {
			c.add(path+".enum", "only a string has an enum")
		}
		if p.Min != nil && p.Max != nil && *p.Min > *p.Max {
			c.add(path+".min", "%d is over max %d", *p.Min, *p.Max)
		}
	case typeString:
		if p.Min != nil || p.Max != nil {
			c.add(path, "only an int has min and max")
		}
	default:
		c.add(path+".type", "%q is not one of %q", p.Type, []string{typeInt, typeString})
		return
	}
	if p.Default != nil {
		if _, err := parameterValue(p, p.Default); err != nil {
			c.add(path+".default", "%v", err)
		}
	}
}

// value is a parameter's value: an integer or a string.
type value struct {
	number int64
	text   string
}

// parameterValue reads and bounds a value of a parameter.
func parameterValue(p *Parameter, raw json.RawMessage) (value, error) {
	var v value
	if p.Type == typeInt {
		if err := json.Unmarshal(raw, &v.number); err != nil {
			return v, fmt.Errorf("want an integer, not %s", raw)
		}
		if p.Min != nil && v.number < *p.Min {
			return v, fmt.Errorf("%d is under the parameter's min %d", v.number, *p.Min)
		}
		if p.Max != nil && v.number > *p.Max {
			return v, fmt.Errorf("%d is over the parameter's max %d", v.number, *p.Max)
		}
		return v, nil
	}
	if err := json.Unmarshal(raw, &v.text); err != nil {
		return v, fmt.Errorf("want a string, not %s", raw)
	}
	if len(p.Enum) > 0 && !slices.Contains(p.Enum, v.text) {
		return v, fmt.Errorf("%q is not one of %q", v.text, p.Enum)
	}
	return v, nil
}

// templateChecker checks values that may name a parameter.
type templateChecker struct {
	*checker
	t *Template
}

// template returns a checker of t's values.
func (c *checker) template(t *Template) templateChecker { return templateChecker{c, t} }

// number checks a literal's bounds, or that the parameter is a declared int.
func (c templateChecker) number(path string, n Number, low, high int64) {
	if n.Parameter == "" {
		c.between(path, n.Value, low, high)
		return
	}
	c.declared(path, n.Parameter, typeInt)
}

// declared checks that a parameter of the type is declared.
func (c templateChecker) declared(path, name, want string) {
	p, ok := c.t.Parameters[name]
	switch {
	case !ok:
		c.add(path, "parameter %q is not declared", name)
	case p.Type != want:
		c.add(path, "parameter %q is of type %q, want %q", name, p.Type, want)
	}
}

// tier checks that an optional tier name exists.
func (c templateChecker) tier(path, name string) {
	if name == "" {
		return
	}
	if !slices.ContainsFunc(c.t.Tiers, func(s TierSpec) bool { return s.Name == name }) {
		c.add(path, "no tier %q in this template", name)
	}
}

// checkTiers checks the tiers' names, priorities and targets.
func checkTiers(c *checker, t *Template) {
	tc := c.template(t)
	if len(t.Tiers) < 1 || len(t.Tiers) > request.MaxTiers {
		c.add("tiers", "want 1 to %d tiers, not %d", request.MaxTiers, len(t.Tiers))
	}
	names := make([]string, len(t.Tiers))
	priorities := make([]string, len(t.Tiers))
	for i, s := range t.Tiers {
		at := fmt.Sprintf("tiers[%d]", i)
		names[i], priorities[i] = s.Name, fmt.Sprint(s.Priority)
		c.name(at+".name", s.Name)
		c.between(at+".priority", int64(s.Priority), 0, request.MaxTiers-1)
		tc.number(at+".first_token_ms", s.FirstTokenMs, 1, MaxTargetMs)
		tc.number(at+".per_token_ms", s.PerTokenMs, 1, MaxTargetMs)
		tc.number(at+".deadline_ms", s.DeadlineMs, 1, MaxTargetMs)
		tc.number(at+".max_waiting", s.MaxWaiting, 0, MaxPoolWaiting)
		literal := s.FirstTokenMs.Parameter == "" && s.DeadlineMs.Parameter == ""
		if literal && s.FirstTokenMs.Value > s.DeadlineMs.Value {
			c.add(at+".first_token_ms", "%d is over deadline_ms %d", s.FirstTokenMs.Value, s.DeadlineMs.Value)
		}
	}
	c.unique(names, func(i int) string { return fmt.Sprintf("tiers[%d].name", i) })
	c.unique(priorities, func(i int) string { return fmt.Sprintf("tiers[%d].priority", i) })
	if t.DefaultTier == "" {
		c.add("default_tier", "missing")
	}
	tc.tier("default_tier", t.DefaultTier)
}

// checkModels checks the models.
func checkModels(c *checker, t *Template) {
	tc := c.template(t)
	names := make([]string, len(t.Models))
	for i, m := range t.Models {
		at := fmt.Sprintf("models[%d]", i)
		names[i] = m.Name
		c.name(at+".name", m.Name)
		tc.tier(at+".tier", m.Tier)
		if parameter, ok := parameterName(m.Version); ok {
			tc.declared(at+".version", parameter, typeString)
		} else {
			c.name(at+".version", m.Version)
		}
	}
	c.unique(names, func(i int) string { return fmt.Sprintf("models[%d].name", i) })
}

// checkServices checks the plain services and their rules.
func checkServices(c *checker, t *Template) {
	tc := c.template(t)
	names := make([]string, len(t.Services))
	for i, s := range t.Services {
		at := fmt.Sprintf("services[%d]", i)
		names[i] = s.Name
		c.name(at+".name", s.Name)
		c.name(at+".pool", s.Pool)
		tc.tier(at+".tier", s.Tier)
		for j, r := range s.Rules {
			checkRule(tc, fmt.Sprintf("%s.rules[%d]", at, j), r)
		}
	}
	c.unique(names, func(i int) string { return fmt.Sprintf("services[%d].name", i) })
}

// checkRule checks one rule of a service.
func checkRule(c templateChecker, at string, r ServiceRule) {
	if !slices.Contains(methods, r.Method) {
		c.add(at+".method", "%q is not one of %q", r.Method, methods)
	}
	if !strings.HasPrefix(r.Path, "/") {
		c.add(at+".path", "%q does not start with '/'", r.Path)
	}
	if i := strings.Index(r.Path, "**"); i >= 0 && i != len(r.Path)-2 {
		c.add(at+".path", "\"**\" may stand only at the end")
	}
	c.tier(at+".tier", r.Tier)
}
