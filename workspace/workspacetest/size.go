// Package workspacetest generates configurations of any size for tests,
// benchmarks and capacity measurements.
package workspacetest

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// Size is the number of objects of each kind in a configuration.
type Size struct {
	Workspaces, Servers, Models, Regions, Templates int
}

// TargetSize is the size that the system is designed for.
var TargetSize = Size{Workspaces: 2400, Servers: 1300, Models: 22, Regions: 6, Templates: 40}

// serversPerPool leaves room for more servers, up to workspace.MaxPoolServers.
const serversPerPool = 16

// Key returns the bearer key of a workspace.
func Key(name string) string { return "key-of-" + name }

// KeyHash returns a key's SHA-256 in hex, as configuration holds it.
func KeyHash(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}

// Objects returns a configuration of the size, with versions from 1 on.
func (size Size) Objects() []objectstore.Object {
	var out []objectstore.Object
	add := func(kind objectstore.Kind, name string, v any) {
		out = append(out, StoredObject(kind, name, objectstore.Version(len(out)+1), v))
	}
	for i := range size.Templates {
		t := Template(fmt.Sprintf("template-%d", i), size.Models)
		add(workspace.KindTemplate, t.Name, t)
	}
	size.addPools(add)
	for i := range size.Workspaces {
		w := Workspace(fmt.Sprintf("workspace-%d", i), fmt.Sprintf("template-%d", i%size.Templates))
		add(workspace.KindWorkspace, w.Name, w)
	}
	return out
}

// addPools adds the pools, one or more per model and region, and their servers.
func (size Size) addPools(add func(objectstore.Kind, string, any)) {
	for first := 0; first < size.Servers; first += serversPerPool {
		i := first / serversPerPool
		p := workspace.Pool{
			Name: fmt.Sprintf("pool-%d", i), Region: fmt.Sprintf("region-%d", i/size.Models%size.Regions),
			Model: fmt.Sprintf("model-%d", i%size.Models), Version: "v1",
		}
		add(workspace.KindPool, p.Name, p)
		for j := first; j < min(first+serversPerPool, size.Servers); j++ {
			s := Server(j, p)
			add(workspace.KindBackendServer, s.Name, s)
		}
	}
}

// Server returns a backend server of a pool. Its name and address are derived
// from number.
func Server(number int, p workspace.Pool) workspace.BackendServer {
	return workspace.BackendServer{
		Name: fmt.Sprintf("server-%d", number), Address: fmt.Sprintf("10.1.%d.%d:8000", number/250, number%250+1),
		Region: p.Region, AvailabilityZone: p.Region + "-a", Pool: p.Name, Slots: 32,
	}
}

// Template returns a template with four tiers, the given number of models, and
// parameters.
func Template(name string, models int) workspace.Template {
	low, high := int64(1), int64(100000)
	t := workspace.Template{
		Name: name, DefaultTier: "tier-1", AllowTierHeader: true,
		Parameters: map[string]workspace.Parameter{
			"deadline": {Type: "int", Default: json.RawMessage("60000"), Min: &low, Max: &high},
			"version":  {Type: "string", Default: json.RawMessage(`"v1"`)},
		},
		MaxTokens: workspace.Number{Value: 2048}, MaxBodyBytes: workspace.Number{Value: 1 << 20},
	}
	for i := range 4 {
		t.Tiers = append(t.Tiers, workspace.TierSpec{
			Name: fmt.Sprintf("tier-%d", i), Priority: i, FirstTokenMs: workspace.Number{Value: 1000},
			PerTokenMs: workspace.Number{Value: 62}, DeadlineMs: workspace.Number{Parameter: "deadline"},
			MaxWaiting: workspace.Number{Value: 100},
		})
	}
	for i := range models {
		t.Models = append(t.Models, workspace.ModelSpec{Name: fmt.Sprintf("model-%d", i), Version: "${version}"})
	}
	return t
}

// Workspace returns a workspace of a template with one key.
func Workspace(name, template string) workspace.Workspace {
	return workspace.Workspace{
		Name: name, Template: template,
		Keys: []workspace.Key{{ID: "main", SHA256: KeyHash(Key(name))}},
	}
}

// StoredObject returns v as a stored object. It panics if v cannot be encoded as
// JSON, which does not happen with configuration types.
func StoredObject(kind objectstore.Kind, name string, version objectstore.Version, v any) objectstore.Object {
	value, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return objectstore.Object{Kind: kind, Name: name, Version: version, Created: version, Value: value}
}
