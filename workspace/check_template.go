package workspace

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/lycheekeel/lycheekeel/request"
)

// Types of parameters.
const (
	typeInt    = "int"
	typeString = "string"
)

// methods are the HTTP methods that a service rule may match.
var methods = []string{
	"*", http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// checkTemplate checks a template on its own.
func checkTemplate(c *checker, t *Template) {
	c.checkName("name", t.Name)
	for name, p := range t.Parameters {
		checkParameter(c, joinPath("parameters", name), name, &p)
	}
	checkTiers(c, t)
	c.forTemplate(t).checkNumber("max_tokens", t.MaxTokens, 1, MaxTokens)
	c.forTemplate(t).checkNumber("max_body_bytes", t.MaxBodyBytes, 1, MaxBodyBytes)
	if len(t.Models)+len(t.Services) == 0 {
		c.add("models", "missing: a template names a model or a service")
	}
	checkModels(c, t)
	checkServices(c, t)
}

// checkParameter checks the declaration of a parameter.
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
		if _, err := parseParamValue(p, p.Default); err != nil {
			c.add(path+".default", "%v", err)
		}
	}
}

// paramValue is the value of a parameter: an integer or a string.
type paramValue struct {
	number int64
	text   string
}

// parseParamValue parses a value of a parameter and checks it against the
// parameter's bounds.
func parseParamValue(p *Parameter, raw json.RawMessage) (paramValue, error) {
	var v paramValue
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

// templateChecker checks values that may refer to a parameter.
type templateChecker struct {
	*checker
	t *Template
}

// forTemplate returns a checker for t's values.
func (c *checker) forTemplate(t *Template) templateChecker { return templateChecker{c, t} }

// checkNumber checks the range of a literal, or that a parameter is declared as
// an int.
func (c templateChecker) checkNumber(path string, n Number, low, high int64) {
	if n.Parameter == "" {
		c.checkRange(path, n.Value, low, high)
		return
	}
	c.checkParameterRef(path, n.Parameter, typeInt)
}

// checkParameterRef checks that a parameter is declared with the wanted type.
func (c templateChecker) checkParameterRef(path, name, want string) {
	p, ok := c.t.Parameters[name]
	switch {
	case !ok:
		c.add(path, "parameter %q is not declared", name)
	case p.Type != want:
		c.add(path, "parameter %q is of type %q, want %q", name, p.Type, want)
	}
}

// checkTierRef checks that the template has the named tier; an empty name is
// allowed.
func (c templateChecker) checkTierRef(path, name string) {
	if name == "" {
		return
	}
	if !slices.ContainsFunc(c.t.Tiers, func(s TierSpec) bool { return s.Name == name }) {
		c.add(path, "no tier %q in this template", name)
	}
}

// checkTiers checks the tiers' names, priorities and targets.
func checkTiers(c *checker, t *Template) {
	tc := c.forTemplate(t)
	if len(t.Tiers) < 1 || len(t.Tiers) > request.MaxTiers {
		c.add("tiers", "want 1 to %d tiers, not %d", request.MaxTiers, len(t.Tiers))
	}
	names := make([]string, len(t.Tiers))
	priorities := make([]string, len(t.Tiers))
	for i, s := range t.Tiers {
		path := fmt.Sprintf("tiers[%d]", i)
		names[i], priorities[i] = s.Name, fmt.Sprint(s.Priority)
		c.checkName(path+".name", s.Name)
		c.checkRange(path+".priority", int64(s.Priority), 0, request.MaxTiers-1)
		tc.checkNumber(path+".first_token_ms", s.FirstTokenMs, 1, MaxTargetMs)
		tc.checkNumber(path+".per_token_ms", s.PerTokenMs, 1, MaxTargetMs)
		tc.checkNumber(path+".deadline_ms", s.DeadlineMs, 1, MaxTargetMs)
		tc.checkNumber(path+".max_waiting", s.MaxWaiting, 0, MaxPoolWaiting)
		literal := s.FirstTokenMs.Parameter == "" && s.DeadlineMs.Parameter == ""
		if literal && s.FirstTokenMs.Value > s.DeadlineMs.Value {
			c.add(path+".first_token_ms", "%d is over deadline_ms %d", s.FirstTokenMs.Value, s.DeadlineMs.Value)
		}
	}
	c.checkUnique(names, func(i int) string { return fmt.Sprintf("tiers[%d].name", i) })
	c.checkUnique(priorities, func(i int) string { return fmt.Sprintf("tiers[%d].priority", i) })
	if t.DefaultTier == "" {
		c.add("default_tier", "missing")
	}
	tc.checkTierRef("default_tier", t.DefaultTier)
}

// checkModels checks the models.
func checkModels(c *checker, t *Template) {
	tc := c.forTemplate(t)
	names := make([]string, len(t.Models))
	for i, m := range t.Models {
		path := fmt.Sprintf("models[%d]", i)
		names[i] = m.Name
		c.checkName(path+".name", m.Name)
		tc.checkTierRef(path+".tier", m.Tier)
		if parameter, ok := parameterName(m.Version); ok {
			tc.checkParameterRef(path+".version", parameter, typeString)
		} else {
			c.checkName(path+".version", m.Version)
		}
	}
	c.checkUnique(names, func(i int) string { return fmt.Sprintf("models[%d].name", i) })
}

// checkServices checks the plain services and their rules.
func checkServices(c *checker, t *Template) {
	tc := c.forTemplate(t)
	names := make([]string, len(t.Services))
	for i, s := range t.Services {
		path := fmt.Sprintf("services[%d]", i)
		names[i] = s.Name
		c.checkName(path+".name", s.Name)
		c.checkName(path+".pool", s.Pool)
		tc.checkTierRef(path+".tier", s.Tier)
		for j, r := range s.Rules {
			checkRule(tc, fmt.Sprintf("%s.rules[%d]", path, j), r)
		}
	}
	c.checkUnique(names, func(i int) string { return fmt.Sprintf("services[%d].name", i) })
}

// checkRule checks one rule of a service.
func checkRule(c templateChecker, path string, r ServiceRule) {
	if !slices.Contains(methods, r.Method) {
		c.add(path+".method", "%q is not one of %q", r.Method, methods)
	}
	if !strings.HasPrefix(r.Path, "/") {
		c.add(path+".path", "%q does not start with '/'", r.Path)
	}
	if i := strings.Index(r.Path, "**"); i >= 0 && i != len(r.Path)-2 {
		c.add(path+".path", "\"**\" may stand only at the end")
	}
	c.checkTierRef(path+".tier", r.Tier)
}
