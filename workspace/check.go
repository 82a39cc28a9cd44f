package workspace

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"

	"github.com/lycheekeel/lycheekeel/objectstore"
)

// Limits of configuration values.
const (
	MaxServerSlots = 4096
	MaxPoolWaiting = 1 << 20
	MaxTokens      = 1 << 20
	MaxBodyBytes   = 64 << 20
	// MaxTargetMs limits each target of a tier, in milliseconds (one day).
	MaxTargetMs = 24 * 60 * 60 * 1000
)

// namePattern matches DNS-like names, which may contain dots. They need no
// escaping in a URL, a log line or a header.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// policies are the scheduling policies that a pool may use.
var policies = []string{"", "lycheekeel", "round-robin", "least-outstanding", "fifo"}

// checker collects the findings of one object.
type checker struct {
	file     string
	findings Findings
}

func (c *checker) add(path, format string, args ...any) {
	c.findings.Add(c.file, path, format, args...)
}

// checkName checks that a value is a DNS-like name.
func (c *checker) checkName(path, v string) {
	switch {
	case v == "":
		c.add(path, "missing")
	case !namePattern.MatchString(v):
		c.add(path, "%q is not a name: 1 to 63 of a-z, 0-9, '-' and '.', starting and ending with a letter or digit", v)
	}
}

// checkRange checks that low <= v <= high.
func (c *checker) checkRange(path string, v, low, high int64) {
	if v < low || v > high {
		c.add(path, "%d is not between %d and %d", v, low, high)
	}
}

// checkUnique checks that no name occurs more than once.
func (c *checker) checkUnique(names []string, path func(i int) string) {
	seen := make(map[string]bool, len(names))
	for i, n := range names {
		if n != "" && seen[n] {
			c.add(path(i), "%q stands twice", n)
		}
		seen[n] = true
	}
}

// objectLocation returns the Finding.File of a stored object.
func objectLocation(kind objectstore.Kind, name string) string {
	return fmt.Sprintf("%s/%s", kind, name)
}

// CheckObject checks one stored object on its own, without the objects that it
// refers to. The object may become active if no finding is fatal.
func CheckObject(o objectstore.Object) Findings {
	_, findings := decodeObject(objectLocation(o.Kind, o.Name), o.Kind, o.Name, o.Value)
	return findings
}

// decodeObject decodes and checks one object's value. The result is a pointer to
// the kind's type. name is the name of the stored object; if it is empty, the
// name in the value is not checked against it.
func decodeObject(file string, kind objectstore.Kind, name string, value []byte) (any, Findings) {
	root, findings := parse(file, value)
	if findings != nil {
		return nil, findings
	}
	return decodeParsed(file, kind, name, root)
}

// decodeParsed is decodeObject for a value that has been parsed.
func decodeParsed(file string, kind objectstore.Kind, name string, root *node) (any, Findings) {
	switch kind {
	case KindTemplate:
		return decodeAndCheck(file, name, root, func(t *Template) string { return t.Name }, checkTemplate)
	case KindWorkspace:
		return decodeAndCheck(file, name, root, func(w *Workspace) string { return w.Name }, checkWorkspace)
	case KindPool:
		return decodeAndCheck(file, name, root, func(p *Pool) string { return p.Name }, checkPool)
	case KindBackendServer:
		return decodeAndCheck(file, name, root, func(s *BackendServer) string { return s.Name }, checkServer)
	case KindAssignment:
		return decodeAndCheck(file, name, root, func(a *Assignment) string { return a.Server }, checkAssignment)
	default:
		var f Findings
		f.Add(file, "kind", "unknown kind %q, want one of %v", kind, Kinds())
		return nil, f
	}
}

// decodeAndCheck decodes a value as a T and checks it.
func decodeAndCheck[T any](file, name string, root *node, nameOf func(*T) string, check func(*checker, *T)) (any, Findings) {
	out := new(T)
	findings := decodeNode(file, "", root, out)
	if findings.Fatal() != nil {
		return nil, findings
	}
	c := checker{file: file, findings: findings}
	if got := nameOf(out); name != "" && got != name {
		c.add("name", "%q is not the object's name %q", got, name)
	}
	check(&c, out)
	if c.findings.Fatal() != nil {
		return nil, c.findings
	}
	return out, c.findings
}

// checkWorkspace checks a workspace on its own, without its template.
func checkWorkspace(c *checker, w *Workspace) {
	c.checkName("name", w.Name)
	c.checkName("template", w.Template)
	if len(w.Keys) == 0 {
		c.add("keys", "missing: without a key no caller can use the workspace")
	}
	ids := make([]string, len(w.Keys))
	hashes := make([]string, len(w.Keys))
	for i, k := range w.Keys {
		ids[i], hashes[i] = k.ID, strings.ToLower(k.SHA256)
		c.checkName(fmt.Sprintf("keys[%d].id", i), k.ID)
		if _, ok := parseKeyHash(k.SHA256); !ok {
			c.add(fmt.Sprintf("keys[%d].sha256", i), "want the key's SHA-256 as 64 hex digits")
		}
	}
	c.checkUnique(ids, func(i int) string { return fmt.Sprintf("keys[%d].id", i) })
	c.checkUnique(hashes, func(i int) string { return fmt.Sprintf("keys[%d].sha256", i) })
}

// parseKeyHash parses a key's SHA-256 in hex.
func parseKeyHash(s string) (KeyHash, bool) {
	var h KeyHash
	if len(s) != hex.EncodedLen(len(h)) {
		return h, false
	}
	_, err := hex.Decode(h[:], []byte(s))
	return h, err == nil
}

// checkPool checks a pool on its own, without its servers.
func checkPool(c *checker, p *Pool) {
	c.checkName("name", p.Name)
	c.checkName("region", p.Region)
	switch {
	case p.Model == "" && p.Service == "":
		c.add("model", "missing: a pool serves a model (with its version) or a service")
	case p.Model != "" && p.Service != "":
		c.add("service", "a pool serves a model or a service, not both")
	case p.Model != "":
		c.checkName("model", p.Model)
		c.checkName("version", p.Version)
	default:
		c.checkName("service", p.Service)
		if p.Version != "" {
			c.add("version", "a service has no version")
		}
	}
	if !slices.Contains(policies, p.Policy) {
		c.add("policy", "%q is not one of %q", p.Policy, policies[1:])
	}
	c.checkRange("min_servers", int64(p.MinServers), 0, MaxPoolServers)
	c.checkRange("max_servers", int64(p.MaxServers), 0, MaxPoolServers)
	if p.MaxServers != 0 && p.MinServers > p.MaxServers {
		c.add("min_servers", "%d is over max_servers %d", p.MinServers, p.MaxServers)
	}
	c.checkRange("max_waiting", int64(p.MaxWaiting), 0, MaxPoolWaiting)
}

// checkServer checks a backend server on its own, without its pool.
func checkServer(c *checker, s *BackendServer) {
	c.checkName("name", s.Name)
	c.checkName("region", s.Region)
	c.checkName("availability_zone", s.AvailabilityZone)
	c.checkName("pool", s.Pool)
	if s.Generation != "" {
		c.checkName("generation", s.Generation)
	}
	address, err := netip.ParseAddrPort(s.Address)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		c.add("address", "%q is not an IP address with a port, as in 10.0.0.7:8000", s.Address)
	}
	c.checkRange("slots", int64(s.Slots), 0, MaxServerSlots)
}

// checkAssignment checks an assignment on its own, without its server and pool.
func checkAssignment(c *checker, a *Assignment) {
	c.checkName("server", a.Server)
	c.checkName("pool", a.Pool)
}
