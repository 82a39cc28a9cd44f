package demo

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/examples"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// keyPrefix with a workspace's name is its key in the shipped examples.
const keyPrefix = "change-me-"

// serviceSlots is how many calls the plain service takes at once.
const serviceSlots = 16

// configuration is the shipped examples with the demonstration's servers in
// place of the examples' own.
type configuration struct {
	standins *standinSet
	objects  []objectstore.Object
	keys     map[string]string
	models   []string // of every pool
	services []string
	engines  []string // an address of each
	pools    []*workspace.Pool
}

func newConfiguration(s *standinSet) (*configuration, error) {
	c := &configuration{standins: s, keys: map[string]string{}, engines: make([]string, len(s.engines))}
	for _, name := range examples.Names() {
		docs, err := examples.Documents(name)
		if err != nil {
			return nil, err
		}
		for _, d := range docs {
			if err := c.addDocument(d); err != nil {
				return nil, err
			}
		}
	}
	for _, p := range c.pools {
		if err := c.addServers(p); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// modelNames returns the models' names, each once.
func (c *configuration) modelNames() []string {
	names := slices.Clone(c.models)
	slices.Sort(names)
	return slices.Compact(names)
}

// addDocument takes over a document of an example.
func (c *configuration) addDocument(d workspace.Document) error {
	switch o := d.Object.(type) {
	case *workspace.BackendServer:
		return nil
	case *workspace.Pool:
		o.Region = region
		o.MinServers = 0
		c.pools = append(c.pools, o)
		if o.Model != "" {
			c.models = append(c.models, o.Model)
		} else {
			c.services = append(c.services, o.Service)
		}
	case *workspace.Workspace:
		c.keys[o.Name] = keyPrefix + o.Name
	}
	return c.add(d.Kind, d.Name, d.Object)
}

// addServers gives a pool its servers: every engine with its share of the
// slots, or the plain service.
func (c *configuration) addServers(p *workspace.Pool) error {
	if p.Service != "" {
		address, err := c.standins.serviceAddress()
		if err != nil {
			return err
		}
		return c.addServer(workspace.BackendServer{
			Name: p.Name + "-service", Address: address, Pool: p.Name, Slots: serviceSlots,
		})
	}
	for i, m := range engineSpecs() {
		address, err := c.standins.engineAddress(i)
		if err != nil {
			return err
		}
		c.engines[i] = address
		err = c.addServer(workspace.BackendServer{
			Name: p.Name + "-" + m.name, Address: address, Pool: p.Name,
			Generation: m.generation, Slots: max(1, m.options.Slots/len(c.models)), ChecksTokens: true,
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *configuration) addServer(s workspace.BackendServer) error {
	s.Region, s.AvailabilityZone = region, zone
	return c.add(workspace.KindBackendServer, s.Name, s)
}

func (c *configuration) add(kind objectstore.Kind, name string, v any) error {
	value, err := json.Marshal(v)
	if err != nil {
		return errors.Wrapf(err, "encode %s %q", kind, name)
	}
	c.objects = append(c.objects, objectstore.Object{Kind: kind, Name: name, Value: value})
	return nil
}
