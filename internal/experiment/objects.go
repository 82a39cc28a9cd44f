package experiment

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/internal/load"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// Names and limits of a scenario's configuration objects; the limits are in bytes and
// tokens.
const (
	region       = "experiment"
	poolName     = "pool"
	templateName = "experiment"
	modelVersion = "v1"
	maxBody      = 16 << 20
	maxAnswer    = 1 << 16
)

// serverName returns the name of the i-th engine's server.
func serverName(i int) string { return fmt.Sprintf("server-%02d", i) }

// serverAddress returns the address of the i-th engine. Nothing listens there, because
// the engines run in this process.
func serverAddress(i int) string { return fmt.Sprintf("127.0.0.1:%d", 20000+i) }

// bearerKey returns a workspace's bearer key.
func bearerKey(name string) string { return "experiment-key-" + name }

// snapshot compiles the scenario's configuration as a daemon does.
func (s *Scenario) snapshot(policy pool.Policy) (*workspace.Snapshot, error) {
	var b objectList
	b.add(workspace.KindTemplate, templateName, s.template())
	for name := range s.keys() {
		sum := sha256.Sum256([]byte(bearerKey(name)))
		b.add(workspace.KindWorkspace, name, workspace.Workspace{
			Name: name, Template: templateName,
			Keys: []workspace.Key{{ID: "experiment", SHA256: hex.EncodeToString(sum[:])}},
		})
	}
	b.add(workspace.KindPool, poolName, workspace.Pool{
		Name: poolName, Region: region, Model: s.Mix.Classes[0].Model, Version: modelVersion,
		Policy: string(policy), MaxWaiting: s.MaxWaiting,
	})
	s.addServers(&b)
	if b.err != nil {
		return nil, b.err
	}
	snap, findings := workspace.Compile(b.objects)
	if f := findings.Fatal(); len(f) > 0 {
		return nil, errors.Wrapf(f, "compile scenario %s", s.Name)
	}
	return snap, nil
}

func (s *Scenario) addServers(b *objectList) {
	i := 0
	for _, g := range s.Engines {
		for range g.Count {
			b.add(workspace.KindBackendServer, serverName(i), workspace.BackendServer{
				Name: serverName(i), Address: serverAddress(i), Region: region, AvailabilityZone: "zone",
				Generation: g.Generation, Pool: poolName, Slots: g.Slots,
			})
			i++
		}
	}
}

func (s *Scenario) template() workspace.Template {
	t := workspace.Template{
		Name: templateName, AllowTierHeader: true,
		MaxTokens: numberValue(maxAnswer), MaxBodyBytes: numberValue(maxBody),
		DefaultTier: s.Mix.Classes[0].Tier,
		Models:      []workspace.ModelSpec{{Name: s.Mix.Classes[0].Model, Version: modelVersion, Tier: s.Mix.Classes[0].Tier}},
	}
	for _, name := range load.TiersByPriority(&s.Mix) {
		x := s.Mix.Tiers[name]
		t.Tiers = append(t.Tiers, workspace.TierSpec{
			Name: name, Priority: x.Priority, FirstTokenMs: numberValue(x.FirstTokenMs),
			PerTokenMs: numberValue(x.PerTokenMs), DeadlineMs: numberValue(x.DeadlineMs),
		})
	}
	return t
}

// keys returns the bearer keys by workspace.
func (s *Scenario) keys() map[string]string {
	out := map[string]string{}
	for _, c := range s.Mix.Classes {
		out[c.Workspace] = bearerKey(c.Workspace)
	}
	return out
}

func numberValue(v int) workspace.Number { return workspace.Number{Value: int64(v)} }

// objectList collects objects in the form in which the object API stores them.
type objectList struct {
	objects []objectstore.Object
	err     error
}

func (b *objectList) add(kind objectstore.Kind, name string, v any) {
	value, err := json.Marshal(v)
	if err != nil && b.err == nil {
		b.err = errors.Wrapf(err, "marshal %s %s", kind, name)
	}
	version := objectstore.Version(len(b.objects) + 1)
	b.objects = append(b.objects, objectstore.Object{Kind: kind, Name: name, Version: version, Created: version, Value: value})
}
