package demo

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/examples"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// keyPrefix followed by a workspace's name is the workspace's key in the shipped
// examples.
const keyPrefix = "change-me-"

// serviceSlots is the maximum number of concurrent calls to the plain service.
const serviceSlots = 16

// configuration is the configuration of the shipped examples, with the back ends
// replaced by the stand-ins.
type configuration struct {
	standins *standinSet
	objects  []objectstore.Object
	keys     map[string]string // by workspace
	models   []string          // of every pool; may have duplicates
	services []string
	engines  []string // one address of each engine
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

// modelNames returns the sorted names of the models without duplicates.
func (c *configuration) modelNames() []string {
	names := slices.Clone(c.models)
	slices.Sort(names)
	return slices.Compact(names)
}

// addDocument adds a document of an example, except a BackendServer.
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

// addServers adds the servers of a pool: the plain service, or every engine. The
// pools of models share the slots of an engine equally.
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
