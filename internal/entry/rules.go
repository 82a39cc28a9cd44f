package entry

import (
	"strings"

	"github.com/lycheekeel/lycheekeel/workspace"
)

// Wildcards of a service rule.
const (
	anyMethod  = "*"
	anySegment = "*"
	anyRest    = "**"
)

// ruleMatches reports whether a template's rule applies to a call. Trailing slashes are
// ignored, so that they cannot select another rule and make a call repeatable.
func ruleMatches(r *workspace.ResolvedRule, method, path string) bool {
	if r.Method != anyMethod && !strings.EqualFold(r.Method, method) {
		return false
	}
	return pathMatches(splitPath(r.Path), splitPath(path))
}

func splitPath(path string) []string {
	path = strings.Trim(path, "/")
	if path == "" {
		return nil
	}
	return strings.Split(path, "/")
}

func pathMatches(pattern, path []string) bool {
	for i, p := range pattern {
		if p == anyRest && i == len(pattern)-1 {
			return true
		}
		if i >= len(path) || (p != anySegment && p != path[i]) {
			return false
		}
	}
	return len(path) == len(pattern)
}
