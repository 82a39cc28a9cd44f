// Package metrics provides registries of expvar metrics. The names of expvar are
// global to a process, so every part gets its metrics from a Registry: tests and
// several daemons in one process keep theirs apart, and only one of them publishes.
package metrics

import (
	"expvar"
	"sync"
)

// Registry holds metrics by group and name, such as group "refusals", name "shed".
// It is safe for concurrent use. Adding to a counter is one atomic operation.
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

// Publish publishes the registry under the name at /debug/vars. Like expvar, it
// panics if the name is already used in this process.
func (r *Registry) Publish(name string) { expvar.Publish(name, &r.root) }

// Group returns the map of a group. The first call creates it.
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

// Counter returns a counter of a group. The first call creates it with value zero,
// so that a counter that was never increased is still shown.
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

// Gauge adds a metric whose value is computed by read each time it is shown.
func (r *Registry) Gauge(group, name string, read func() any) {
	r.Group(group).Set(name, expvar.Func(read))
}

// JSON returns the whole registry as JSON.
func (r *Registry) JSON() string { return r.root.String() }
