// Package metrics is the one registry of the program's expvar metrics.
// expvar's names are global to a process; every part gets its counters from
// a Registry, so that tests and several daemons in one process can keep them
// apart and only one of them publishes.
package metrics

import (
	"expvar"
	"sync"
)

// Registry holds counters by group and name, e.g. group "refusals", name
// "shed". It is safe for concurrent use; a counter's Add is one atomic.
type Registry struct {
	root   expvar.Map
	mu     sync.Mutex
	groups map[string]*expvar.Map
}

// New returns an empty registry that is not published.
func New() *Registry {
	r := &Registry{groups: map[string]*expvar.Map{}}
	r.root.Init()
	return r
}

// Publish makes the registry visible at /debug/vars under the name. It
// panics, as expvar does, when the name is taken in this process.
func (r *Registry) Publish(name string) { expvar.Publish(name, &r.root) }

// Group returns the group's map, creating it at the first call.
func (r *Registry) Group(name string) *expvar.Map {
	r.mu.Lock()
	defer r.mu.Unlock()
	g, ok := r.groups[name]
	if !ok {
		g = new(expvar.Map).Init()
		r.groups[name] = g
		r.root.Set(name, g)
	}
	return g
}

// Counter returns one counter of a group, creating it at zero, so that a
// reason that never happened still shows.
func (r *Registry) Counter(group, name string) *expvar.Int {
	g := r.Group(group)
	r.mu.Lock()
	defer r.mu.Unlock()
	if v, ok := g.Get(name).(*expvar.Int); ok {
		return v
	}
	v := new(expvar.Int)
	g.Set(name, v)
	return v
}

// Gauge shows a value that is computed when it is read.
func (r *Registry) Gauge(group, name string, read func() any) {
	r.Group(group).Set(name, expvar.Func(read))
}

// JSON returns the whole registry as JSON.
func (r *Registry) JSON() string { return r.root.String() }
